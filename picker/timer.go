package picker

import "time"

// timer is the time at which the ejection of a server ends, or the time without new work after it announced that it is
// leaving.
type timer struct {
	at     time.Time
	server *server
}

type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less compares two timers by time.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	end := len(*h) - 1
	last := (*h)[end]
	*h = (*h)[:end]
	return last
}
