package ticketer

// receiptsKept is how many tickets, counted back from the last one, keep their receipts. At 13,000 tickets a day they
// cover more than 15 hours, during which a client that did not receive the response can submit its ticket again to learn
// the outcome.
const receiptsKept = 8192

// receiptSweepInterval is the number of tickets between two removals of old receipts. They are not removed with each
// ticket, because a removal reads all receipts.
const receiptSweepInterval = 500

// Receipt records the number under which a ticket was accepted.
type Receipt struct {
	ID     string
	Number int64
	Digest string
}

// Receipt returns the receipt of the ticket with an ID, if the ticket was applied recently.
func (s State) Receipt(id string) (Receipt, bool) { return s.receipts.get(id) }

func (s State) withoutOldReceipts() State {
	oldest := s.applied - receiptsKept
	for _, receipt := range s.receipts.values() {
		if receipt.Number <= oldest {
			s.receipts = s.receipts.without(receipt.ID)
		}
	}
	return s
}
