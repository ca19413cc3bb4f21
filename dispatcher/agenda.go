package dispatcher

import (
	"container/heap"
	"time"
)

type purpose int

const (
	deadlinePasses purpose = iota
	retryIsDue
	attemptIsOverdue
)

// appointment is a time at which something has to be done for a request.
type appointment struct {
	at      time.Time
	purpose purpose
	entry   *entry
	// attempt is the attempt that an attemptIsOverdue belongs to.
	attempt int
}

// valid reports whether there is still something to do.
func (a appointment) valid() bool {
	switch a.purpose {
	case deadlinePasses:
		return a.entry.state != ended && !a.entry.expired
	case retryIsDue:
		return a.entry.state == waitingForRetry
	default:
		return a.entry.state == running && a.entry.attempts == a.attempt && !a.entry.countsLong
	}
}

// agenda is a heap of appointments. Those of ended requests stay in it until they are due or become too many, so that
// the end of a request costs constant time.
type agenda struct {
	entries appointmentHeap
}

func (g *agenda) add(a appointment) {
	heap.Push(&g.entries, a)
}

// next returns the earliest valid appointment.
func (g *agenda) next() (appointment, bool) {
	for len(g.entries) > 0 {
		if g.entries[0].valid() {
			return g.entries[0], true
		}
		heap.Pop(&g.entries)
	}
	return appointment{}, false
}

// takeDue removes and returns the earliest valid appointment if it is due.
func (g *agenda) takeDue(now time.Time) (appointment, bool) {
	a, found := g.next()
	if !found || now.Before(a.at) {
		return appointment{}, false
	}
	heap.Pop(&g.entries)
	return a, true
}

const (
	// perRequest is the largest number of valid appointments of one request.
	perRequest = 2
	// spareAppointments avoids compaction of an agenda that is small anyway.
	spareAppointments = 64
)

// compact drops the appointments of ended requests when they are more than half of all.
func (g *agenda) compact(requests int) {
	if len(g.entries) <= 2*perRequest*requests+spareAppointments {
		return
	}
	kept := g.entries[:0]
	for _, a := range g.entries {
		if a.valid() {
			kept = append(kept, a)
		}
	}
	clear(g.entries[len(kept):])
	g.entries = kept
	heap.Init(&g.entries)
}

type appointmentHeap []appointment

// Len returns the number of appointments.
func (h appointmentHeap) Len() int { return len(h) }

// Less compares two appointments by time.
func (h appointmentHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two appointments.
func (h appointmentHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an appointment.
func (h *appointmentHeap) Push(x any) { *h = append(*h, x.(appointment)) }

// Pop removes the last appointment.
func (h *appointmentHeap) Pop() any {
	end := len(*h) - 1
	last := (*h)[end]
	(*h)[end] = appointment{}
	*h = (*h)[:end]
	return last
}
