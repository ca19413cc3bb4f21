package arbiter

import (
	"cmp"
	"time"

	"egretring.example/egretring/specifier"
)

// Tier groups waiting steps by the value that the result of their job still has for its caller.
type Tier int

const (
	// OnTime jobs can still meet their objective.
	OnTime Tier = iota
	// Overdue jobs have missed their objective.
	Overdue
	// Worthless jobs have a result without value to the caller.
	Worthless
)

// Rank is what the place of a waiting step in the order depends on.
type Rank[V any] struct {
	// Value is the step, for the use of the caller.
	Value V
	Step  specifier.StepID
	Tier  Tier
	// Beyond is set for work that its team has sent beyond its rate.
	Beyond bool
	// Priority is that of the queue; zero is the highest.
	Priority int
	Service  string
	// Team is empty for work without a team.
	Team string
	// LatestStart is when the step has to start for its job to meet its objective.
	LatestStart time.Time

	flow *flow
	next *Rank[V]
}

// compareClass compares what precedes the order between teams.
func compareClass[V any](a, b *Rank[V]) int {
	if a.Tier != b.Tier || a.Beyond != b.Beyond {
		return cmp.Or(compareBool(a.Tier == Worthless, b.Tier == Worthless), compareBool(a.Beyond, b.Beyond), cmp.Compare(a.Tier, b.Tier))
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// compareWithin compares two steps of a team and class. It compares IDs only when all else is equal, because a backlog is sorted in
// each pass.
func compareWithin[V any](a, b *Rank[V]) int {
	if order := a.LatestStart.Compare(b.LatestStart); order != 0 {
		return order
	}
	return cmp.Or(
		cmp.Compare(a.Step.Job, b.Step.Job), cmp.Compare(a.Step.Step, b.Step.Step), cmp.Compare(a.Step.Occurrence, b.Step.Occurrence),
	)
}

func compare[V any](a, b *Rank[V]) int {
	if order := compareClass(a, b); order != 0 {
		return order
	}
	return compareWithin(a, b)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
