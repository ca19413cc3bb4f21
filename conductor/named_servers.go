package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// named records that an advice call in flight names the server, until its result is expected.
func (s *session) named(until time.Time) {
	s.namedUntil = append(s.namedUntil, until)
	s.takenPart = takenPart(len(s.namedUntil))
}

// forgetCalls forgets the advice calls whose results were expected by now.
func (s *session) forgetCalls(now time.Time) {
	if len(s.namedUntil) == 0 {
		return
	}
	s.namedUntil = slices.DeleteFunc(s.namedUntil, func(until time.Time) bool { return !now.Before(until) })
	s.takenPart = takenPart(len(s.namedUntil))
}

// takenPart returns the part of a server's free capacity that calls in flight that name it are expected to take: each of them admits it
// with the likelihood that adviceOverRequest assumes.
func takenPart(calls int) float64 {
	return 1 - math.Pow(1-1.0/adviceOverRequest, float64(calls))
}

// expectedPart returns the part of the server's free capacity that should be left once the calls in flight that name it have ended.
func (s *session) expectedPart() float64 {
	return 1 - s.takenPart
}

// compareExpectedCapacity orders the server first that has a speed which the step prefers, and then the one that is expected to have the
// most free cores when a call that begins now ends. If all calls at a time named the servers with the most free cores, one step would
// take them, and the tickets of the others expire unused.
func (w *waitingStep) compareExpectedCapacity(a, b *session) int {
	return cmp.Or(
		w.compareNamed(a, b),
		cmp.Compare(float64(b.freeCapacity().MilliCores)*b.expectedPart(), float64(a.freeCapacity().MilliCores)*a.expectedPart()),
		cmp.Compare(a.server.ID, b.server.ID),
	)
}

// compareExpectedNearness is compareNearness for the servers to name in a call that begins now.
func (w *waitingStep) compareExpectedNearness(a, b *session) int {
	return cmp.Or(
		w.compareNamed(a, b),
		cmp.Compare(w.nearness(b)*b.expectedPart(), w.nearness(a)*a.expectedPart()),
		cmp.Compare(a.server.ID, b.server.ID),
	)
}
