package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Backlog is the waiting work that is served before new work of the same class and group.
type Backlog struct {
	Work time.Duration
	// Slots is the number of slots that serve this work.
	Slots float64
}

// Len returns the number of items.
func (q *Queuer[V]) Len() int {
	sum := 0
	for _, class := range describer.Classes() {
		sum += q.LenOfClass(class)
	}
	return sum
}

// LenOfClass returns the number of items of a class.
func (q *Queuer[V]) LenOfClass(class describer.Class) int {
	sum := 0
	for _, count := range q.counts[class] {
		sum += count
	}
	return sum
}

// LenOfGroup returns the number of items of a group.
func (q *Queuer[V]) LenOfGroup(group Group) int {
	sum := 0
	for class := range q.counts {
		sum += q.counts[class][group]
	}
	return sum
}

// WorkOfGroup returns the sum of the mean run times of the items of a class and group.
func (q *Queuer[V]) WorkOfGroup(class describer.Class, group Group) time.Duration {
	return q.work[class][group]
}

// SlotDemand is the number of slots that the classes share, and the number of slots that each class currently needs.
type SlotDemand struct {
	Slots  float64
	Demand [describer.ClassCount]float64
}

// BacklogOf returns the backlog that a new item of a class and group would wait for.
func (q *Queuer[V]) BacklogOf(class describer.Class, group Group, demand SlotDemand) Backlog {
	switch {
	case q.policy.singleQueue:
		return Backlog{Work: q.totalWork(), Slots: demand.Slots}
	case !q.policy.weighted:
		return Backlog{Work: q.workAhead(class, group), Slots: demand.remaining(class)}
	default:
		return Backlog{Work: q.workAhead(class, group), Slots: q.classSlots(class, demand)}
	}
}

func (q *Queuer[V]) totalWork() time.Duration {
	sum := time.Duration(0)
	for _, class := range describer.Classes() {
		sum += q.work[class][Short] + q.work[class][Uncertain] + q.work[class][Long]
	}
	return sum
}

// workAhead returns the waiting work of a class that is served before a new item of a group. It omits long work if the
// new item is served before it, as shorter work is with shortest-first order.
func (q *Queuer[V]) workAhead(class describer.Class, group Group) time.Duration {
	sum := q.work[class][Short] + q.work[class][Uncertain]
	if group == Long || !q.policy.shortestFirst {
		sum += q.work[class][Long]
	}
	return sum
}

// remaining returns the slots that more urgent classes do not need, at least one if there is one.
func (s SlotDemand) remaining(class describer.Class) float64 {
	slots := s.Slots
	for urgent := range class {
		slots -= s.Demand[urgent]
	}
	return max(slots, min(1, s.Slots))
}

// classSlots returns the slots that a class gets if it needs more than its share (weighted max-min fairness). The other
// classes get their share by weight, or their demand if it is smaller; the slots that they do not need are shared
// again.
func (q *Queuer[V]) classSlots(class describer.Class, demand SlotDemand) float64 {
	remaining := demand.Slots
	var satisfied [describer.ClassCount]bool
	for {
		sum := q.unsatisfiedWeight(satisfied)
		granted := remaining
		changed := false
		for _, other := range describer.Classes() {
			wanted := demand.Demand[other]
			if other == class || satisfied[other] || wanted > granted*q.policy.weights[other]/sum {
				continue
			}
			satisfied[other] = true
			changed = true
			remaining -= wanted
		}
		if !changed {
			return remaining * q.policy.weights[class] / sum
		}
	}
}

// unsatisfiedWeight returns the sum of the weights of the classes whose demand is not yet satisfied.
func (q *Queuer[V]) unsatisfiedWeight(satisfied [describer.ClassCount]bool) float64 {
	sum := 0.0
	for class, weight := range q.policy.weights {
		if !satisfied[class] {
			sum += weight
		}
	}
	return sum
}
