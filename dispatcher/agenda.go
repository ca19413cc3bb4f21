package dispatcher

import (
	"container/heap"
	"time"
)

// wakeupReason is why a request has a scheduled wake-up.
type wakeupReason int

const (
	requestDeadline wakeupReason = iota
	retryDue
	attemptOverdue
)

// wakeup is a scheduled time at which the dispatcher has to act on a request.
type wakeup struct {
	at     time.Time
	reason wakeupReason
	entry  *entry
	// attempt is the number of the attempt that an attemptOverdue wake-up belongs to.
	attempt int
}

// valid reports whether the wake-up still applies to the current state of its request.
func (w wakeup) valid() bool {
	switch w.reason {
	case requestDeadline:
		return w.entry.state != ended && !w.entry.expired
	case retryDue:
		return w.entry.state == waitingForRetry
	default:
		return w.entry.state == running && w.entry.attempts == w.attempt && !w.entry.countsAsLong
	}
}

// schedule is a heap of wake-ups ordered by time. The wake-ups of an ended request stay in the heap until they are due
// or compact removes them, so that ending a request takes constant time.
type schedule struct {
	wakeups wakeupHeap
}

func (s *schedule) add(w wakeup) {
	heap.Push(&s.wakeups, w)
}

// next returns the earliest valid wake-up and discards the invalid ones before it.
func (s *schedule) next() (wakeup, bool) {
	for len(s.wakeups) > 0 {
		if s.wakeups[0].valid() {
			return s.wakeups[0], true
		}
		heap.Pop(&s.wakeups)
	}
	return wakeup{}, false
}

// popDue removes and returns the earliest valid wake-up if it is due.
func (s *schedule) popDue(now time.Time) (wakeup, bool) {
	w, found := s.next()
	if !found || now.Before(w.at) {
		return wakeup{}, false
	}
	heap.Pop(&s.wakeups)
	return w, true
}

const (
	// maxWakeupsPerRequest is the largest number of valid wake-ups of one request at a time.
	maxWakeupsPerRequest = 2
	// compactionSlack is the number of additional wake-ups that are kept, so that a small schedule is not compacted.
	compactionSlack = 64
)

// compact removes the invalid wake-ups, such as those of ended requests, once the heap holds more than twice the
// largest number of valid ones and compactionSlack in addition.
func (s *schedule) compact(requests int) {
	if len(s.wakeups) <= 2*maxWakeupsPerRequest*requests+compactionSlack {
		return
	}
	kept := s.wakeups[:0]
	for _, w := range s.wakeups {
		if w.valid() {
			kept = append(kept, w)
		}
	}
	clear(s.wakeups[len(kept):])
	s.wakeups = kept
	heap.Init(&s.wakeups)
}

type wakeupHeap []wakeup

// Len returns the number of wake-ups.
func (h wakeupHeap) Len() int { return len(h) }

// Less compares two wake-ups by time.
func (h wakeupHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two wake-ups.
func (h wakeupHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a wake-up.
func (h *wakeupHeap) Push(x any) { *h = append(*h, x.(wakeup)) }

// Pop removes the last wake-up.
func (h *wakeupHeap) Pop() any {
	end := len(*h) - 1
	last := (*h)[end]
	(*h)[end] = wakeup{}
	*h = (*h)[:end]
	return last
}
