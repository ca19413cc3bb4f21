package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Queuer holds waiting items. It is not safe for concurrent use.
type Queuer[V any] struct {
	policy policy
	queues map[Flow]*flowQueue[V]
	heaps  [describer.ClassCount][GroupCount]flowQueueHeap[V]
	counts [describer.ClassCount][GroupCount]int
	work   [describer.ClassCount][GroupCount]time.Duration
	// passes is the slot time served to each class divided by its weight, in seconds, as in stride scheduling. The
	// class with the lowest pass is served next.
	passes [describer.ClassCount]float64
	// virtualTime is the highest pass that a class had when it was served in order.
	virtualTime float64
	// agedCredit is the slot time that aged work may still take ahead of its order, in seconds.
	agedCredit float64
	agedItem   *Item[V]
}

// New returns an empty queuer.
func New[V any](opts ...Option) *Queuer[V] {
	q := &Queuer[V]{
		policy: policy{weights: defaultWeights, weighted: true, ageing: true, shortestFirst: true},
		queues: make(map[Flow]*flowQueue[V]),
	}
	for _, opt := range opts {
		opt(&q.policy)
	}
	return q
}

// Push appends an item to its flow.
func (q *Queuer[V]) Push(item *Item[V]) {
	q.insert(item, (*flowQueue[V]).pushBack)
}

// PushFront inserts an item at the head of its flow, such as one that waits again after a failed attempt.
func (q *Queuer[V]) PushFront(item *Item[V]) {
	q.insert(item, (*flowQueue[V]).pushFront)
}

func (q *Queuer[V]) insert(item *Item[V], link func(*flowQueue[V], *Item[V])) {
	class := item.Flow.Class
	q.counts[class][item.Group]++
	q.work[class][item.Group] += item.Work
	l, known := q.queues[item.Flow]
	if !known {
		l = &flowQueue[V]{}
		q.queues[item.Flow] = l
	}
	head := l.first
	link(l, item)
	if l.first != head {
		q.reorder(l)
	}
}

// Remove removes an item from any position of its flow queue. Its cost does not depend on the number of items.
func (q *Queuer[V]) Remove(item *Item[V]) {
	l := item.queue
	if l == nil {
		return
	}
	class := item.Flow.Class
	q.counts[class][item.Group]--
	q.work[class][item.Group] -= item.Work
	head := l.first
	l.unlink(item)
	if l.first != head {
		q.reorder(l)
	}
}

// reorder moves a flow queue to the position in the heaps that belongs to its new first item.
func (q *Queuer[V]) reorder(l *flowQueue[V]) {
	l.leaveHeap()
	if l.first == nil {
		return
	}
	l.key = q.keyOf(l.first)
	l.joinHeap(&q.heaps[l.first.Flow.Class][l.first.Group])
}

func (q *Queuer[V]) keyOf(item *Item[V]) int64 {
	switch {
	case !q.policy.shortestFirst:
		return item.Arrived.UnixNano()
	case q.policy.ageing:
		return item.Arrived.UnixNano() + runTimeFactor*int64(item.Expected)
	default:
		return int64(item.Expected)
	}
}

// Prune removes the flow queues without items; it must be called when services change.
func (q *Queuer[V]) Prune() {
	for flow, l := range q.queues {
		if l.first == nil {
			delete(q.queues, flow)
		}
	}
}
