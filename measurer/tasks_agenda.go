package measurer

import (
	"container/heap"
	"time"
)

// epochStart is the start of virtual time in all measurements.
var epochStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// eventQueue is the clock and the schedule of a discrete-event simulation. It runs functions at their virtual times.
type eventQueue struct {
	now   time.Time
	items eventHeap
	last  int64
}

type scheduledEvent struct {
	at time.Time
	// order is the order of scheduling, in which events of the same time run.
	order int64
	run   func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newEventQueue() *eventQueue {
	return &eventQueue{now: epochStart}
}

// after schedules a function to run when a duration of virtual time has passed.
func (q *eventQueue) after(duration time.Duration, run func()) {
	q.last++
	heap.Push(&q.items, scheduledEvent{at: q.now.Add(duration), order: q.last, run: run})
}

// every schedules a function to run at an interval until it returns false.
func (q *eventQueue) every(interval time.Duration, run func() bool) {
	q.after(interval, func() {
		if run() {
			q.every(interval, run)
		}
	})
}

// runUntil runs the scheduled functions up to and including a time, or until stop returns true.
func (q *eventQueue) runUntil(end time.Time, stop func() bool) {
	for len(q.items) > 0 && !q.items[0].at.After(end) && !stop() {
		item := heap.Pop(&q.items).(scheduledEvent)
		q.now = item.at
		item.run()
	}
}
