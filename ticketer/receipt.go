package ticketer

// Receipts are kept for so many tickets; at 13,000 tickets a day that is more than 15 hours, in which a client that
// lost its answer can ask again.
const receiptsKept = 8192

// receiptSweepInterval is how many tickets lie between two removals of old receipts, because a removal reads all.
const receiptSweepInterval = 500

// Receipt says under which number a ticket was accepted.
type Receipt struct {
	ID     string
	Number int64
	Digest string
}

// Receipt returns the receipt of a ticket ID that was applied recently.
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
