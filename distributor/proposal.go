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
	// reading: the number of the last write is to be read, to find out which record is stored under it.
	reading
	// verifying: the record is in the store; it must be checked that the record before it is still there, too.
	verifying
	// removing: the record was written under the number of a compacted ticket and must be deleted.
	removing
	// syncing: the journal must be read from the store because it is not up to date.
	syncing
)

// proposal is the state machine for the acceptance of one ticket. It does no I/O: plan returns the next step, and the
// methods wrote, found, verified, removed and resynced report the result of the step.
type proposal struct {
	ticket     ticketer.Ticket
	writeID    string
	acceptedBy describer.InstanceID

	phase  phase
	record ticketer.AcceptedTicket
	// synced is true once the journal has been read from the store; a ticket whose base is still higher than the last
	// ticket is then refused.
	synced bool
}

// step is the next step of a proposal.
type step struct {
	phase  phase
	record ticketer.AcceptedTicket
	// done is true when the proposal has ended: the ticket was accepted under number, or refused with err.
	done   bool
	number int64
	err    error
}

func finalStep(number int64, err error) step {
	return step{done: true, number: number, err: err}
}

// plan returns the next step. It ends with an error that promises that the ticket was not accepted only in the phase
// writing, in which no earlier write of this proposal can still take effect: each of them targeted a number that
// another ticket has taken by now, or the number that is about to be written again.
func (p *proposal) plan(j journal, now time.Time) step {
	if receipt, ok := j.state.Receipt(p.ticket.ID); ok {
		return finalStep(receiptResult(receipt, p.ticket))
	}
	p.resolveSuperseded(j)
	if p.phase != writing {
		return step{phase: p.phase, record: p.record}
	}
	if p.ticket.Base > j.state.Applied() && !p.synced {
		p.phase = syncing
		return step{phase: syncing}
	}
	if err := check(j, p.ticket); err != nil {
		return finalStep(0, err)
	}
	p.record = ticketer.AcceptedTicket{
		Number:     j.state.Applied() + 1,
		WriteID:    p.writeID,
		Previous:   j.state.LastWriteID(),
		AcceptedAt: now.UTC(),
		AcceptedBy: p.acceptedBy,
		Ticket:     p.ticket,
	}
	return step{phase: writing, record: p.record}
}

// resolveSuperseded changes the phase if the journal has reached the number of the last write without this ticket: a
// record that was written must be removed, and after a write whose outcome is unknown the ticket is written again under
// a later number.
func (p *proposal) resolveSuperseded(j journal) {
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

// receiptResult returns the number of an accepted ticket, or an error if another ticket was accepted with the same ID.
func receiptResult(receipt ticketer.Receipt, ticket ticketer.Ticket) (int64, error) {
	if receipt.Digest == ticket.Digest() {
		return receipt.Number, nil
	}
	return receipt.Number, classifier.New(classifier.Conflict,
		"ticket ID %q was already used by ticket %d with other content", ticket.ID, receipt.Number)
}

// check returns an error if a ticket cannot be the next one of a journal.
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
	if conflicts := ticketer.Conflicts(ticket.Base, ticket, j.after(ticket.Base)); len(conflicts) > 0 {
		return ticketer.ConflictError(ticket.Base, conflicts)
	}
	return ticketer.Check(j.state, ticket)
}

// wrote reports the result of a write. Only a write that the store refused because of its rate limit certainly had no
// effect; after any other error, the number must be read.
func (p *proposal) wrote(err error) {
	switch {
	case err == nil:
		p.phase = verifying
	case errors.Is(err, keeper.ErrRateLimited):
	default:
		p.phase = reading
	}
}

// found reports the WriteID of the record that is stored under the number of the last write, and whether the record
// follows the one before it; an empty WriteID means that there is no record. A record of another writer that is in
// sequence must be applied to the journal before the next call of plan.
func (p *proposal) found(writeID string, inSequence bool) {
	switch {
	case writeID == p.writeID:
		p.phase = verifying
	case writeID != "" && !inSequence:
		p.phase = syncing
	default:
		p.phase = writing
	}
}

// verified reports whether the record before the written one is still in the store. If it is, the ticket is accepted
// and must be applied to the journal before the next call of plan.
func (p *proposal) verified(inSequence bool) {
	if !inSequence {
		p.phase = removing
	}
}

// removed reports that the record under the number of a compacted ticket has been deleted.
func (p *proposal) removed() {
	p.phase = syncing
	p.record = ticketer.AcceptedTicket{}
}

// resynced reports that the journal has been read from the store.
func (p *proposal) resynced() {
	p.phase = writing
	p.synced = true
}
