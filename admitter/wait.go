package admitter

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

const (
	// correctionStep is the weight of one observed wait in the correction.
	correctionStep = 0.05
	minCorrection  = 0.75
	maxCorrection  = 1.25
	// leastPrediction is the wait below which the ratio of actual to expected wait is mostly noise.
	leastPrediction = 5 * time.Millisecond
	// pressedPart is the part of the time to the deadline that the expected wait must exceed before a team or service
	// with more than its part of the queue is refused.
	pressedPart = 0.5
)

// correction is the learned ratio of actual to expected waits of a class.
type correction struct {
	factor float64
}

func newCorrection() correction {
	return correction{factor: 1}
}

func (c *correction) observe(expected, actual time.Duration) {
	if expected < leastPrediction {
		return
	}
	ratio := float64(actual) / float64(expected)
	ratio = min(max(ratio, minCorrection), maxCorrection)
	c.factor += (ratio - 1) * correctionStep * c.factor
	c.factor = min(max(c.factor, minCorrection), maxCorrection)
}

// CheckQueue checks whether a request that has to wait can be answered before its deadline. The expected wait follows
// from the present backlog, so that it reacts to a swing of the load without delay.
func (a *Admitter) CheckQueue(now time.Time, request describer.Request, load Load) Verdict {
	wait := a.expectedWait(request.Class, load)
	if a.queueFull(request, load.Long) {
		return Verdict{Kind: classifier.QueueFull, RetryAt: a.retryAfter(now, wait/2), Wait: wait}
	}
	remaining := request.Deadline.Sub(now)
	if !a.adaptive || load.Sample {
		return Verdict{Admitted: true, Wait: wait}
	}
	if wait+load.Run > remaining {
		return Verdict{Kind: classifier.Overloaded, RetryAt: a.retryAfter(now, wait+load.Run-remaining), Wait: wait}
	}
	pressed := float64(wait) > pressedPart*float64(remaining)
	if pressed && a.rivals.exceedsPart(request) {
		return Verdict{Kind: classifier.Overloaded, RetryAt: a.retryAfter(now, wait), Wait: wait}
	}
	return Verdict{Admitted: true, Wait: wait}
}

// ObserveWait learns how far the expected waits of a class are off. It must be called for requests that start and for
// those that reach their deadline in the queue; otherwise only the short waits would be seen.
func (a *Admitter) ObserveWait(class describer.Class, expected, actual time.Duration) {
	a.waits[class].observe(expected, actual)
}

func (a *Admitter) expectedWait(class describer.Class, load Load) time.Duration {
	if load.Work <= 0 {
		return 0
	}
	if load.Slots <= 0 {
		return maxAhead
	}
	wait := float64(load.Work) / load.Slots
	if a.adaptive {
		wait *= a.waits[class].factor
	}
	return time.Duration(min(wait, float64(maxAhead)))
}
