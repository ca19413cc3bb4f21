package dispatcher

import (
	"math"
	"time"
)

const (
	// riseTimeConstant is the time constant for a growing demand: long enough to smooth short bursts of requests, and
	// short compared with a load swing.
	riseTimeConstant = 250 * time.Millisecond
	// urgentFallTimeConstant is the time constant for a falling demand of Urgent requests. It keeps slots for them for
	// a while, because the demand may rise again.
	urgentFallTimeConstant = 2 * time.Second
	// otherFallTimeConstant is the time constant for other falling demands. It is shorter, because the slots that they
	// release are used by long work.
	otherFallTimeConstant = 500 * time.Millisecond
	// slowTimeConstant is the time constant of the slow average, which covers several load swings.
	slowTimeConstant = 10 * time.Second
	// swingDuration is the time after which a load swing is expected to be over.
	swingDuration = 10 * time.Second
)

// demand keeps exponentially weighted averages of the number of slots that a part of the work needs.
type demand struct {
	// fast follows a load swing; slow averages over several swings.
	fast             float64
	slow             float64
	fallTimeConstant time.Duration
	current          float64
	updated          time.Time
}

func newDemand(fallTimeConstant time.Duration) demand {
	return demand{fallTimeConstant: fallTimeConstant}
}

// observe sets the current value; the earlier value is assumed to have lasted until now. The value is limited to the
// number of slots, because a long queue would otherwise raise the averages long after it has been served.
func (d *demand) observe(now time.Time, current, slots int) {
	d.fast, d.slow = d.fastAt(now), d.slowAt(now)
	d.current = float64(min(current, slots))
	d.updated = now
}

// fastAt returns the average that follows a load swing.
func (d *demand) fastAt(now time.Time) float64 {
	if d.current < d.fast {
		return d.averageAt(now, d.fast, d.fallTimeConstant)
	}
	return d.averageAt(now, d.fast, riseTimeConstant)
}

// slowAt returns the average over several load swings.
func (d *demand) slowAt(now time.Time) float64 {
	return d.averageAt(now, d.slow, slowTimeConstant)
}

// expectedWithin returns the demand that is expected within the horizon, a time that starts now. The present load swing
// is assumed to continue over a short horizon; over a long one, the load is assumed to return to its slow average.
func (d *demand) expectedWithin(now time.Time, horizon time.Duration) float64 {
	slowWeight := min(horizon.Seconds()/swingDuration.Seconds(), 1)
	return (1-slowWeight)*d.fastAt(now) + slowWeight*d.slowAt(now)
}

// averageAt returns an average that has decayed exponentially towards the current value since the last observation.
func (d *demand) averageAt(now time.Time, average float64, timeConstant time.Duration) float64 {
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 || d.updated.IsZero() {
		return average
	}
	weight := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	return d.current + (average-d.current)*weight
}
