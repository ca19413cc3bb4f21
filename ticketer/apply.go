package ticketer

import "github.com/pkg/errors"

// ErrGap is returned when the number of a ticket is higher than the next number.
var ErrGap = errors.New("ticket is not the next one")

// ErrFork is returned when a ticket has the next number but was written as the successor of another ticket than the
// last applied one.
var ErrFork = errors.New("ticket follows another sequence")

// IsErrFork reports whether the cause of an error is ErrFork.
func IsErrFork(err error) bool {
	return errors.Is(err, ErrFork)
}

// IsErrGap reports whether the cause of an error is ErrGap.
func IsErrGap(err error) bool {
	return errors.Is(err, ErrGap)
}

// Apply returns the state after the next ticket. A ticket that was already applied changes nothing; a ticket whose
// predecessor was not applied is refused with ErrGap or ErrFork.
func Apply(state State, accepted AcceptedTicket) (State, error) {
	if accepted.Number <= state.applied {
		return state, nil
	}
	if accepted.Number != state.applied+1 {
		return state, errors.Wrapf(ErrGap, "ticket %d after ticket %d", accepted.Number, state.applied)
	}
	if accepted.Previous != state.lastWriteID {
		return state, errors.Wrapf(ErrFork, "ticket %d follows write %q, but write %q was applied",
			accepted.Number, accepted.Previous, state.lastWriteID)
	}
	next := withObjects(state, accepted.Ticket).WithApplied(accepted.Number)
	next.lastWriteID = accepted.WriteID
	next = next.withReceipt(Receipt{
		ID:     accepted.Ticket.ID,
		Number: accepted.Number,
		Digest: accepted.Ticket.Digest(),
	})
	if next.applied%receiptSweepInterval == 0 {
		next = next.withoutOldReceipts()
	}
	return next, nil
}

// withObjects returns a state with the objects of a ticket set or deleted. The number of the last applied ticket, the
// last WriteID and the receipts stay those of the state before.
func withObjects(state State, ticket Ticket) State {
	state.services = state.services.withChanges(ticket.Services)
	state.jobs = state.jobs.withChanges(ticket.Jobs)
	state.quotas = state.quotas.withChanges(ticket.Quotas)
	state.limits = state.limits.withChanges(ticket.Limits)
	state.routes = state.routes.withChanges(ticket.Routes)
	state.drainedServers = state.drainedServers.withChanges(ticket.DrainedServers)
	state.drainedZones = state.drainedZones.withChanges(ticket.DrainedZones)
	state.deadInstances = state.deadInstances.withChanges(ticket.DeadInstances)
	return state
}

// DiffTicket returns what a ticket would change in a state.
func DiffTicket(state State, ticket Ticket) []Change {
	return Diff(state, withObjects(state, ticket))
}
