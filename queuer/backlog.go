package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Backlog is the waiting work that is served before new work of the same class and group.
type Backlog struct {
	Work time.Duration
	// Slots is the number of slots that this work gets.
	Slots float64
}

// Len returns the number of items.
func (q *Queuer[V]) Len() int {
	sum := 0
	for _, class := range describer.Classes() {
		sum += q.LenOf(class)
	}
	return sum
}

// LenOf returns the number of items of a class.
func (q *Queuer[V]) LenOf(class describer.Class) int {
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

// WorkOf returns the sum of the mean run times of the items of a class and group.
func (q *Queuer[V]) WorkOf(class describer.Class, group Group) time.Duration {
	return q.works[class][group]
}

// Supply is what the classes share: slots, and how many of them each class wants now.
type Supply struct {
	Slots  float64
	Demand [describer.ClassCount]float64
}

// BacklogOf returns what a new item of a class and group would wait for.
func (q *Queuer[V]) BacklogOf(class describer.Class, group Group, supply Supply) Backlog {
	switch {
	case q.policy.single:
		return Backlog{Work: q.workOfAll(), Slots: supply.Slots}
	case !q.policy.weighted:
		return Backlog{Work: q.workAhead(class, group), Slots: supply.left(class)}
	default:
		return Backlog{Work: q.workAhead(class, group), Slots: q.slotsOf(class, supply)}
	}
}

func (q *Queuer[V]) workOfAll() time.Duration {
	sum := time.Duration(0)
	for _, class := range describer.Classes() {
		sum += q.works[class][Short] + q.works[class][Uncertain] + q.works[class][Long]
	}
	return sum
}

// workAhead leaves out long work for a group that passes it.
func (q *Queuer[V]) workAhead(class describer.Class, group Group) time.Duration {
	sum := q.works[class][Short] + q.works[class][Uncertain]
	if group == Long || !q.policy.shortest {
		sum += q.works[class][Long]
	}
	return sum
}

// left returns the slots that more urgent classes leave, at least one.
func (s Supply) left(class describer.Class) float64 {
	slots := s.Slots
	for urgent := range class {
		slots -= s.Demand[urgent]
	}
	return max(slots, min(1, s.Slots))
}

// slotsOf returns the slots of a class that wants more than it gets. The other classes get their share by weight, or
// their demand if it is smaller; what they leave is shared again.
func (q *Queuer[V]) slotsOf(class describer.Class, supply Supply) float64 {
	left := supply.Slots
	var satisfied [describer.ClassCount]bool
	for {
		sum := q.weightOf(satisfied)
		granted := left
		changed := false
		for _, other := range describer.Classes() {
			wanted := supply.Demand[other]
			if other == class || satisfied[other] || wanted > granted*q.policy.weights[other]/sum {
				continue
			}
			satisfied[other] = true
			changed = true
			left -= wanted
		}
		if !changed {
			return left * q.policy.weights[class] / sum
		}
	}
}

// weightOf sums the weights of the classes that are not yet satisfied.
func (q *Queuer[V]) weightOf(satisfied [describer.ClassCount]bool) float64 {
	sum := 0.0
	for class, weight := range q.policy.weights {
		if !satisfied[class] {
			sum += weight
		}
	}
	return sum
}
