package ticketer

import "github.com/pkg/errors"

// ErrGap is returned when a ticket is not the next one.
var ErrGap = errors.New("ticket is not the next one")

// ErrFork is returned when a ticket does not follow the last applied ticket but another one with the same number.
var ErrFork = errors.New("ticket follows another sequence")

// IsErrFork reports whether a ticket belongs to another sequence.
func IsErrFork(err error) bool {
	return errors.Is(err, ErrFork)
}

// IsErrGap reports whether a ticket was not the next one.
func IsErrGap(err error) bool {
	return errors.Is(err, ErrGap)
}

// Apply returns the state after the next ticket. A ticket that was applied before changes nothing; a ticket whose
// predecessor was not applied is refused with ErrGap or ErrFork.
func Apply(state State, numbered Numbered) (State, error) {
	if numbered.Number <= state.applied {
		return state, nil
	}
	if numbered.Number != state.applied+1 {
		return state, errors.Wrapf(ErrGap, "ticket %d after ticket %d", numbered.Number, state.applied)
	}
	if numbered.Previous != state.lastWriteID {
		return state, errors.Wrapf(ErrFork, "ticket %d follows write %q, but write %q was applied",
			numbered.Number, numbered.Previous, state.lastWriteID)
	}
	next := preview(state, numbered.Ticket).WithApplied(numbered.Number)
	next.lastWriteID = numbered.WriteID
	next = next.withReceipt(Receipt{
		ID:     numbered.Ticket.ID,
		Number: numbered.Number,
		Digest: numbered.Ticket.Digest(),
	})
	if next.applied%receiptSweepInterval == 0 {
		next = next.withoutOldReceipts()
	}
	return next, nil
}

// preview returns the objects after a ticket, under the number of the state before it.
func preview(state State, ticket Ticket) State {
	state.services = state.services.changed(ticket.Services)
	state.jobs = state.jobs.changed(ticket.Jobs)
	state.quotas = state.quotas.changed(ticket.Quotas)
	state.limits = state.limits.changed(ticket.Limits)
	state.routes = state.routes.changed(ticket.Routes)
	state.drainedServers = state.drainedServers.changed(ticket.DrainedServers)
	state.drainedZones = state.drainedZones.changed(ticket.DrainedZones)
	state.deadInstances = state.deadInstances.changed(ticket.DeadInstances)
	return state
}

// DiffTicket returns what a ticket would change in a state.
func DiffTicket(state State, ticket Ticket) []Change {
	return Diff(state, preview(state, ticket))
}
