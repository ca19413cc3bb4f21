package starter

import (
	"container/heap"
	"time"
)

// waker is a task or backend server with a scheduled wake-up.
type waker interface {
	wake(s *Starter, now time.Time)
	wakesAt() time.Time
}

type timer struct {
	at time.Time
	// order keeps timers of the same time in the order in which they were set.
	order int64
	waker waker
}

// timerHeap is a priority queue of timers, ordered by time. A timer is obsolete and dropped if its waker has been
// rescheduled to another time.
type timerHeap struct {
	timers []timer
	last   int64
}

func (h *timerHeap) Len() int { return len(h.timers) }

func (h *timerHeap) Less(i, j int) bool {
	if h.timers[i].at.Equal(h.timers[j].at) {
		return h.timers[i].order < h.timers[j].order
	}
	return h.timers[i].at.Before(h.timers[j].at)
}

func (h *timerHeap) Swap(i, j int) { h.timers[i], h.timers[j] = h.timers[j], h.timers[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { h.timers = append(h.timers, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := h.timers[len(h.timers)-1]
	h.timers[len(h.timers)-1] = timer{}
	h.timers = h.timers[:len(h.timers)-1]
	return last
}

func (h *timerHeap) set(at time.Time, w waker) {
	h.last++
	heap.Push(h, timer{at: at, order: h.last, waker: w})
}

// next returns the first timer that is not obsolete.
func (h *timerHeap) next() (timer, bool) {
	for len(h.timers) > 0 {
		first := h.timers[0]
		if first.waker.wakesAt().Equal(first.at) {
			return first, true
		}
		heap.Pop(h)
	}
	return timer{}, false
}

func (h *timerHeap) drop() { heap.Pop(h) }
