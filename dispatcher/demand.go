package dispatcher

import (
	"math"
	"time"
)

const (
	// riseMemory is the time over which a growing demand is averaged: long enough to smooth the requests of a moment,
	// and short against a swing.
	riseMemory = 250 * time.Millisecond
	// urgentFall keeps slots for Urgent after its demand has fallen, because it may swing back.
	urgentFall = 2 * time.Second
	// otherFall gives the slots of other demands back sooner, because what they leave is used by long work.
	otherFall = 500 * time.Millisecond
	// slowMemory averages over several swings.
	slowMemory = 10 * time.Second
	// swingLength is the time after which a swing is expected to be over.
	swingLength = 10 * time.Second
)

// demand is the recent average of a number of slots that a part of the work wants.
type demand struct {
	// fast follows a swing of the load; slow averages over swings.
	fast    float64
	slow    float64
	fall    time.Duration
	current float64
	updated time.Time
}

func newDemand(fall time.Duration) demand {
	return demand{fall: fall}
}

// observe sets the present value; the earlier one is taken to have lasted until now. Work beyond the number of slots
// does not count, as the averages would otherwise remember a queue that is long gone.
func (a *demand) observe(now time.Time, current, slots int) {
	a.fast, a.slow = a.at(now), a.slowAt(now)
	a.current = float64(min(current, slots))
	a.updated = now
}

// at returns the average that follows a swing.
func (a *demand) at(now time.Time) float64 {
	if a.current < a.fast {
		return a.approach(now, a.fast, a.fall)
	}
	return a.approach(now, a.fast, riseMemory)
}

// slowAt returns the average over swings.
func (a *demand) slowAt(now time.Time) float64 {
	return a.approach(now, a.slow, slowMemory)
}

// within returns the demand to expect over a time from now on: over a short time the present swing goes on, over a
// long one the load returns to its average.
func (a *demand) within(now time.Time, horizon time.Duration) float64 {
	part := min(horizon.Seconds()/swingLength.Seconds(), 1)
	return (1-part)*a.at(now) + part*a.slowAt(now)
}

func (a *demand) approach(now time.Time, average float64, memory time.Duration) float64 {
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 || a.updated.IsZero() {
		return average
	}
	kept := math.Exp(-elapsed.Seconds() / memory.Seconds())
	return a.current + (average-a.current)*kept
}
