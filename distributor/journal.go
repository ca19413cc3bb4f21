package distributor

import (
	"slices"

	"egretring.example/egretring/ticketer"
)

// retention says how much of the past is kept.
type retention struct {
	// interval is how many tickets lie between two snapshots.
	interval int64
	// tickets is how many tickets before the last snapshot are kept. A ticket with an older base cannot be checked
	// for conflicts and is refused.
	tickets int64
}

// defaultRetention keeps 1,000 to 1,500 tickets, about two hours at 13,000 tickets a day.
var defaultRetention = retention{interval: 500, tickets: 1000}

// journal is the configuration state in force and the last tickets that led to it. It is immutable, but two journals
// must not be continued from the same one, because they may share the array behind tickets.
type journal struct {
	retention retention
	state     ticketer.State
	// mark is the state at the last multiple of the snapshot interval.
	mark ticketer.State
	// tickets are contiguous and end with the last applied one; they may begin before the mark.
	tickets []ticketer.Numbered
}

// with returns the journal after one more ticket. A ticket that was applied before changes nothing.
func (j journal) with(numbered ticketer.Numbered) (journal, error) {
	state, err := ticketer.Apply(j.state, numbered)
	if err != nil || state.Applied() == j.state.Applied() {
		return j, err
	}
	j.state = state
	j.tickets = append(j.tickets, numbered)
	if state.Applied()%j.retention.interval == 0 {
		j.mark = state
		j = j.trimmed()
	}
	return j, nil
}

func (j journal) trimmed() journal {
	oldest := j.oldestKept()
	first := slices.IndexFunc(j.tickets, func(n ticketer.Numbered) bool { return n.Number >= oldest })
	if first > 0 {
		j.tickets = slices.Clone(j.tickets[first:])
	}
	return j
}

// oldestKept is the number of the oldest ticket that the journal and the store keep.
func (j journal) oldestKept() int64 {
	return max(1, j.mark.Applied()-j.retention.tickets+1)
}

// oldest returns the number of the oldest ticket at hand; without tickets it is the next number.
func (j journal) oldest() int64 {
	if len(j.tickets) == 0 {
		return j.state.Applied() + 1
	}
	return j.tickets[0].Number
}

// after returns the tickets after a number.
func (j journal) after(number int64) []ticketer.Numbered {
	first := slices.IndexFunc(j.tickets, func(n ticketer.Numbered) bool { return n.Number > number })
	if first < 0 {
		return nil
	}
	return j.tickets[first:]
}

// withAll returns the journal after a contiguous sequence of tickets.
func (j journal) withAll(tickets []ticketer.Numbered) (journal, error) {
	for _, numbered := range tickets {
		next, err := j.with(numbered)
		if err != nil {
			return j, err
		}
		j = next
	}
	return j, nil
}

// adopted returns the journal that a snapshot and tickets give, if it is further than this one. The state in force
// never reverts: a journal that is not further is dropped.
func (j journal) adopted(snapshot ticketer.State, tickets []ticketer.Numbered) (journal, error) {
	other := journal{retention: j.retention, state: snapshot, mark: snapshot}
	for _, numbered := range tickets {
		if numbered.Number <= snapshot.Applied() {
			other.tickets = append(other.tickets, numbered)
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
