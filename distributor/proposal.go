package distributor

import (
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// phase is what a proposal does next.
type phase int

const (
	// writing: the record is to be written under the next number.
	writing phase = iota
	// reading: it is to be found out who holds the number of the last write.
	reading
	// verifying: the record is in the store; the record before it must still be there.
	verifying
	// removing: the record was written under a compacted number and must be deleted.
	removing
	// syncing: the journal lags behind the store.
	syncing
)

// proposal is the pure core of the acceptance of one ticket. It is driven by plan and the methods that report the
// result of each step.
type proposal struct {
	ticket     ticketer.Ticket
	writeID    string
	acceptedBy describer.InstanceID

	phase  phase
	record ticketer.Numbered
	// synced is true once the journal was read from the store, so that a base beyond it is an error.
	synced bool
}

// step is what is to be done for a proposal.
type step struct {
	phase  phase
	record ticketer.Numbered
	// done is true when the proposal has ended with number or err.
	done   bool
	number int64
	err    error
}

func ended(number int64, err error) step {
	return step{done: true, number: number, err: err}
}

// plan returns the next step. An error that promises that the ticket was not accepted is returned only in the phase
// writing, in which no write of this proposal can still take effect: each earlier write was aimed at a number that
// now holds another ticket, or at the number that is written again.
func (p *proposal) plan(j journal, now time.Time) step {
	if receipt, ok := j.state.Receipt(p.ticket.ID); ok {
		return ended(receiptResult(receipt, p.ticket))
	}
	p.passOver(j)
	if p.phase != writing {
		return step{phase: p.phase, record: p.record}
	}
	if p.ticket.Base > j.state.Applied() && !p.synced {
		p.phase = syncing
		return step{phase: syncing}
	}
	if err := check(j, p.ticket); err != nil {
		return ended(0, err)
	}
	p.record = ticketer.Numbered{
		Number:     j.state.Applied() + 1,
		WriteID:    p.writeID,
		Previous:   j.state.LastWriteID(),
		AcceptedAt: now.UTC(),
		AcceptedBy: p.acceptedBy,
		Ticket:     p.ticket,
	}
	return step{phase: writing, record: p.record}
}

// passOver reacts to a journal that has passed the number of the last write without this ticket.
func (p *proposal) passOver(j journal) {
	if j.state.Applied() < p.record.Number {
		return
	}
	switch p.phase {
	case verifying:
		p.phase = removing
	case reading:
		p.phase = writing
	}
}

func receiptResult(receipt ticketer.Receipt, ticket ticketer.Ticket) (int64, error) {
	if receipt.Digest == ticket.Digest() {
		return receipt.Number, nil
	}
	return receipt.Number, classifier.New(classifier.Conflict,
		"ticket ID %q was already used by ticket %d with other content", ticket.ID, receipt.Number)
}

// check returns why a ticket cannot be the next one of a journal.
func check(j journal, ticket ticketer.Ticket) error {
	applied := j.state.Applied()
	if ticket.Base > applied {
		return classifier.New(classifier.BadTicket,
			"ticket is based on ticket %d, but the last ticket is %d", ticket.Base, applied)
	}
	if ticket.Base+1 < j.oldest() {
		return classifier.New(classifier.Conflict,
			"ticket is based on ticket %d; conflicts can be checked only with tickets after %d, so read the current"+
				" state and base the ticket on it", ticket.Base, j.oldest()-1)
	}
	if collisions := ticketer.Conflicts(ticket.Base, ticket, j.after(ticket.Base)); len(collisions) > 0 {
		return ticketer.ConflictError(ticket.Base, collisions)
	}
	return ticketer.Check(j.state, ticket)
}

// wrote reports the result of a write. Only a write that the store refused because of its rate has no effect for
// certain.
func (p *proposal) wrote(err error) {
	switch {
	case err == nil:
		p.phase = verifying
	case errors.Is(err, keeper.ErrRateLimited):
	default:
		p.phase = reading
	}
}

// found reports which record holds the number of the last write; an empty WriteID means none. The record of another
// writer must be applied to the journal before the next plan if it is genuine.
func (p *proposal) found(writeID string, genuine bool) {
	switch {
	case writeID == p.writeID:
		p.phase = verifying
	case writeID != "" && !genuine:
		p.phase = syncing
	default:
		p.phase = writing
	}
}

// verified reports whether the record before the written one is still in the store. If it is, the ticket is accepted
// and must be applied to the journal before the next plan.
func (p *proposal) verified(genuine bool) {
	if !genuine {
		p.phase = removing
	}
}

// removed reports that the record under the compacted number is gone.
func (p *proposal) removed() {
	p.phase = syncing
	p.record = ticketer.Numbered{}
}

// resynced reports that the journal was read from the store.
func (p *proposal) resynced() {
	p.phase = writing
	p.synced = true
}
