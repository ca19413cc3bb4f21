package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Backlog is the waiting work that is served before new work of the same class and group.
type Backlog struct {
	Work time.Duration
	// Share is the part of the slot time that this work gets while the classes that wait now keep waiting.
	Share float64
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

// BacklogOf returns what a new item of a class and group would wait for.
func (q *Queuer[V]) BacklogOf(class describer.Class, group Group) Backlog {
	switch {
	case q.policy.single:
		return Backlog{Work: q.workUpTo(describer.Deferrable, Long), Share: 1}
	case !q.policy.weighted:
		return Backlog{Work: q.workUpTo(class, group), Share: 1}
	default:
		return Backlog{Work: q.workAhead(class, group), Share: q.shareOf(class)}
	}
}

// workUpTo sums the work of a class that is ahead of a group, and all work of more urgent classes.
func (q *Queuer[V]) workUpTo(class describer.Class, group Group) time.Duration {
	sum := q.workAhead(class, group)
	for urgent := range class {
		sum += q.workAhead(urgent, Long)
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

func (q *Queuer[V]) shareOf(class describer.Class) float64 {
	sum := q.policy.weights[class]
	for _, other := range describer.Classes() {
		if other != class && q.LenOf(other) > 0 {
			sum += q.policy.weights[other]
		}
	}
	return q.policy.weights[class] / sum
}
