package estimator

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// defaultRun is assumed for a kind without a declared or observed run time.
	defaultRun = 100 * time.Millisecond
	// minSamples is the number of samples from which the learned run time replaces the declared one. A few are enough,
	// because declared run times are often far off.
	minSamples = 5
	// learnerWindow is the effective number of recent samples of a kind. A change of its run time is followed within a
	// few hundred requests.
	learnerWindow = 200
	// refreshEvery is the number of samples between two computations of the quantiles. It bounds their cost on the
	// request path.
	refreshEvery = 16

	lowQuantile    = 0.1
	medianQuantile = 0.5
	highQuantile   = 0.95
)

// Estimate describes the expected run time of a kind.
type Estimate struct {
	// Low is reached or exceeded by nine of ten runs. It is zero until the run time has been learned.
	Low    time.Duration
	Median time.Duration
	// Mean includes stragglers, runs that take much longer than the median; it is the average slot time of a request.
	Mean time.Duration
	// High is exceeded by one run of twenty.
	High time.Duration
	// Overdue is the run time after which an attempt of the kind counts as long work.
	Overdue time.Duration
	// StragglerShare is the share of runs that become overdue.
	StragglerShare float64
}

// Learner estimates the run time of one kind of request.
type Learner struct {
	estimator    *Estimator
	declared     time.Duration
	runs         histogram
	cached       Estimate
	sinceRefresh int
}

func newLearner(estimator *Estimator, kind describer.Kind) *Learner {
	l := &Learner{estimator: estimator, runs: newHistogram(learnerWindow)}
	l.setDeclared(kind)
	return l
}

func (l *Learner) setDeclared(kind describer.Kind) {
	l.declared = time.Duration(kind.ExpectedMilliseconds) * time.Millisecond
	l.refresh()
}

// Observe records the run time of an attempt that ran to its end. It must not be called for failed attempts, because a
// fast failure gives no information about the run time of the kind.
func (l *Learner) Observe(elapsed time.Duration) {
	l.runs.add(elapsed)
	l.sinceRefresh++
	if l.sinceRefresh >= refreshEvery || l.runs.samples <= refreshEvery {
		l.refresh()
	}
}

// ObserveAtLeast records a lower bound of the run time from an attempt that was aborted. A bound that does not exceed
// the estimated median is ignored. Without these samples, a kind whose runs are aborted at their deadline would be
// estimated to be as short as the runs that succeed.
func (l *Learner) ObserveAtLeast(elapsed time.Duration) {
	if elapsed > l.cached.Median {
		l.Observe(elapsed)
	}
}

// Estimate returns the current estimate.
func (l *Learner) Estimate() Estimate {
	return l.cached
}

func (l *Learner) refresh() {
	l.sinceRefresh = 0
	if l.estimator.learning && l.runs.samples >= minSamples {
		l.cached = l.computeEstimate()
		return
	}
	run := l.declared
	if run <= 0 {
		run = defaultRun
	}
	l.cached = Estimate{Median: run, Mean: run, High: run, Overdue: l.overdueAfter(run)}
}

func (l *Learner) computeEstimate() Estimate {
	median := l.runs.quantile(medianQuantile)
	overdue := l.overdueAfter(median)
	return Estimate{
		Low:            l.runs.quantile(lowQuantile),
		Median:         median,
		Mean:           l.runs.mean(),
		High:           l.runs.quantile(highQuantile),
		Overdue:        overdue,
		StragglerShare: l.runs.shareAbove(overdue),
	}
}

// overdueAfter returns the run time after which an attempt counts as long work. It is at least the long limit, because
// work below that limit is not long, however much it exceeds its median.
func (l *Learner) overdueAfter(median time.Duration) time.Duration {
	overdue := longFactor * median
	if limit := l.estimator.LongLimit(); limit < noLongLimit {
		overdue = max(overdue, limit)
	}
	return overdue
}
