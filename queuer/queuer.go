package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Queuer holds waiting items. It is not safe for concurrent use.
type Queuer[V any] struct {
	policy policy
	lanes  map[Flow]*lane[V]
	heaps  [describer.ClassCount][GroupCount]laneHeap[V]
	counts [describer.ClassCount][GroupCount]int
	works  [describer.ClassCount][GroupCount]time.Duration
	// passes is the slot time served to each class divided by its weight, in seconds. The class with the lowest pass
	// is served next.
	passes [describer.ClassCount]float64
	clock  float64
	// agedCredit is the slot time that aged work may still take ahead of its turn, in seconds.
	agedCredit float64
	agedItem   *Item[V]
}

// New returns an empty queuer.
func New[V any](opts ...Option) *Queuer[V] {
	q := &Queuer[V]{
		policy: policy{weights: defaultWeights, weighted: true, ageing: true, shortest: true},
		lanes:  make(map[Flow]*lane[V]),
	}
	for _, opt := range opts {
		opt(&q.policy)
	}
	return q
}

// Push appends an item to its flow.
func (q *Queuer[V]) Push(item *Item[V]) {
	q.insert(item, (*lane[V]).pushBack)
}

// PushFront puts an item at the head of its flow, such as one that waits again after a failed attempt.
func (q *Queuer[V]) PushFront(item *Item[V]) {
	q.insert(item, (*lane[V]).pushFront)
}

func (q *Queuer[V]) insert(item *Item[V], place func(*lane[V], *Item[V])) {
	class := item.Flow.Class
	q.counts[class][item.Group]++
	q.works[class][item.Group] += item.Work
	l, known := q.lanes[item.Flow]
	if !known {
		l = &lane[V]{}
		q.lanes[item.Flow] = l
	}
	head := l.first
	place(l, item)
	if l.first != head {
		q.reorder(l)
	}
}

// Remove takes an item out, wherever it waits. Its cost does not depend on the number of items.
func (q *Queuer[V]) Remove(item *Item[V]) {
	l := item.lane
	if l == nil {
		return
	}
	class := item.Flow.Class
	q.counts[class][item.Group]--
	q.works[class][item.Group] -= item.Work
	head := l.first
	l.unlink(item)
	if l.first != head {
		q.reorder(l)
	}
}

// reorder moves a lane to the place of its new head.
func (q *Queuer[V]) reorder(l *lane[V]) {
	l.leaveHeap()
	if l.first == nil {
		return
	}
	l.key = q.keyOf(l.first)
	l.joinHeap(&q.heaps[l.first.Flow.Class][l.first.Group])
}

func (q *Queuer[V]) keyOf(item *Item[V]) int64 {
	switch {
	case !q.policy.shortest:
		return item.Arrived.UnixNano()
	case q.policy.ageing:
		return item.Arrived.UnixNano() + patience*int64(item.Expected)
	default:
		return int64(item.Expected)
	}
}

// Prune forgets flows without items; call it when services change.
func (q *Queuer[V]) Prune() {
	for flow, l := range q.lanes {
		if l.first == nil {
			delete(q.lanes, flow)
		}
	}
}
