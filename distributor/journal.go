package distributor

import (
	"slices"

	"egretring.example/egretring/ticketer"
)

// retention defines how many accepted tickets are kept.
type retention struct {
	// interval is the number of tickets between two snapshots.
	interval int64
	// tickets is the number of tickets before the last snapshot that are kept. A new ticket with an older base cannot
	// be checked for conflicts and is refused.
	tickets int64
}

// defaultRetention keeps 1,000 to 1,500 tickets, about two hours at 13,000 tickets a day.
var defaultRetention = retention{interval: 500, tickets: 1000}

// journal is the configuration state in force and the last tickets that led to it. Its methods return a new journal
// instead of changing it, but only one successor may be derived from a journal, because successors may share the array
// behind tickets.
type journal struct {
	retention retention
	state     ticketer.State
	// checkpoint is the state at the last multiple of the snapshot interval.
	checkpoint ticketer.State
	// tickets are contiguous and end with the last applied one; they may begin before the checkpoint.
	tickets []ticketer.AcceptedTicket
}

// with returns the journal after one more ticket. A ticket that was already applied changes nothing.
func (j journal) with(accepted ticketer.AcceptedTicket) (journal, error) {
	state, err := ticketer.Apply(j.state, accepted)
	if err != nil || state.Applied() == j.state.Applied() {
		return j, err
	}
	j.state = state
	j.tickets = append(j.tickets, accepted)
	if state.Applied()%j.retention.interval == 0 {
		j.checkpoint = state
		j = j.trimmed()
	}
	return j, nil
}

// trimmed returns the journal without the tickets that the retention no longer keeps.
func (j journal) trimmed() journal {
	oldest := j.oldestKept()
	first := slices.IndexFunc(j.tickets, func(n ticketer.AcceptedTicket) bool { return n.Number >= oldest })
	if first > 0 {
		j.tickets = slices.Clone(j.tickets[first:])
	}
	return j
}

// oldestKept returns the number of the oldest ticket that the journal and the store have to keep.
func (j journal) oldestKept() int64 {
	return max(1, j.checkpoint.Applied()-j.retention.tickets+1)
}

// oldest returns the number of the oldest ticket in the journal; without tickets it is the next number.
func (j journal) oldest() int64 {
	if len(j.tickets) == 0 {
		return j.state.Applied() + 1
	}
	return j.tickets[0].Number
}

// after returns the tickets in the journal whose number is higher than the given one.
func (j journal) after(number int64) []ticketer.AcceptedTicket {
	first := slices.IndexFunc(j.tickets, func(n ticketer.AcceptedTicket) bool { return n.Number > number })
	if first < 0 {
		return nil
	}
	return j.tickets[first:]
}

// withAll returns the journal after several contiguous tickets. Tickets that were already applied are skipped.
func (j journal) withAll(tickets []ticketer.AcceptedTicket) (journal, error) {
	for _, accepted := range tickets {
		next, err := j.with(accepted)
		if err != nil {
			return j, err
		}
		j = next
	}
	return j, nil
}

// withSnapshot returns the journal built from a snapshot and the tickets around it, if its last ticket is later than
// that of this journal. Otherwise it returns this journal, so that the state in force never reverts.
func (j journal) withSnapshot(snapshot ticketer.State, tickets []ticketer.AcceptedTicket) (journal, error) {
	other := journal{retention: j.retention, state: snapshot, checkpoint: snapshot}
	for _, accepted := range tickets {
		if accepted.Number <= snapshot.Applied() {
			other.tickets = append(other.tickets, accepted)
		}
	}
	if other.oldest()+int64(len(other.tickets)) != snapshot.Applied()+1 {
		other.tickets = nil
	}
	other, err := other.withAll(tickets)
	if err != nil || other.state.Applied() <= j.state.Applied() {
		return j, err
	}
	return other, nil
}
