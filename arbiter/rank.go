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
	// Beyond is set for work beyond the rate of its team, by MarkBeyond. Paid is set once the job has taken a token of the rate.
	Beyond, Paid bool
	// Priority is that of the queue; zero is the highest.
	Priority int
	Service  string
	// Team is empty for work without a team.
	Team string
	// LatestStart is when the step has to start for its job to meet its objective.
	LatestStart time.Time

	// class is that of the last order with the step.
	class int64
	flow  *flow
	next  *Rank[V]
}

// maxPriority bounds the number of a priority in the class of a step.
const maxPriority = 1 << 48

// classOf returns a number for what precedes the order between teams; lower ones are served first.
func (r *Rank[V]) classOf() int64 {
	class := int64(r.Tier)
	if r.Beyond {
		class += int64(Worthless)
	}
	if r.Tier == Worthless {
		class += 2 * int64(Worthless)
	}
	return class*2*maxPriority + int64(min(max(r.Priority, -maxPriority+1), maxPriority-1))
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
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	return compareWithin(a, b)
}
