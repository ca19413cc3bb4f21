package admitter

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

const (
	// correctionRate is the weight of one observed wait in the correction.
	correctionRate = 0.05
	minCorrection  = 0.75
	maxCorrection  = 1.25
	// minPrediction is the expected wait below which the ratio of actual to expected wait is mostly noise.
	minPrediction = 5 * time.Millisecond
	// pressureThreshold is the share of the time to the deadline that the expected wait must exceed before a team or
	// service with more than its share of the queue is refused.
	pressureThreshold = 0.5
)

// correction is the learned ratio of actual to expected waits of a class.
type correction struct {
	factor float64
}

func newCorrection() correction {
	return correction{factor: 1}
}

func (c *correction) observe(expected, actual time.Duration) {
	if expected < minPrediction {
		return
	}
	ratio := float64(actual) / float64(expected)
	ratio = min(max(ratio, minCorrection), maxCorrection)
	c.factor += (ratio - 1) * correctionRate * c.factor
	c.factor = min(max(c.factor, minCorrection), maxCorrection)
}

// CheckQueue checks whether a request that has to wait fits in the queue and can be answered before its deadline. The
// expected wait is derived from the present backlog, so that it reacts to a load swing without delay.
func (a *Admitter) CheckQueue(now time.Time, request describer.Request, load Load) Verdict {
	wait := a.expectedWait(request.Class, load)
	if a.queueFull(request, load.Long) {
		return Verdict{Kind: classifier.QueueFull, RetryAt: a.retryAfter(now, wait/2), Wait: wait}
	}
	remaining := request.Deadline.Sub(now)
	if !a.adaptive || load.OnlyOfKind {
		return Verdict{Admitted: true, Wait: wait}
	}
	if wait+load.Run > remaining {
		return Verdict{Kind: classifier.Overloaded, RetryAt: a.retryAfter(now, wait+load.Run-remaining), Wait: wait}
	}
	underPressure := float64(wait) > pressureThreshold*float64(remaining)
	if underPressure && a.shares.exceedsShare(request) {
		return Verdict{Kind: classifier.Overloaded, RetryAt: a.retryAfter(now, wait), Wait: wait}
	}
	return Verdict{Admitted: true, Wait: wait}
}

// ObserveWait updates the correction of the expected waits of a class. It must be called for requests that start and
// for those that reach their deadline in the queue; otherwise only the short waits would be observed.
func (a *Admitter) ObserveWait(class describer.Class, expected, actual time.Duration) {
	a.waitCorrections[class].observe(expected, actual)
}

func (a *Admitter) expectedWait(class describer.Class, load Load) time.Duration {
	if load.Work <= 0 {
		return 0
	}
	if load.Slots <= 0 {
		return maxDeadlineAhead
	}
	wait := float64(load.Work) / load.Slots
	if a.adaptive {
		wait *= a.waitCorrections[class].factor
	}
	return time.Duration(min(wait, float64(maxDeadlineAhead)))
}
