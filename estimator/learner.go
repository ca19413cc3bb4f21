package estimator

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// defaultRun is assumed for a kind without a declared or observed run time.
	defaultRun = 100 * time.Millisecond
	// enoughSamples replace the declared run time; few are enough, because declared times are often far off.
	enoughSamples = 5
	// learnerMemory follows a change of a kind's run time within some hundred requests.
	learnerMemory = 200
	// refreshEvery bounds the cost of the quantiles on the path of each request.
	refreshEvery = 16

	lowShare    = 0.1
	medianShare = 0.5
	highShare   = 0.95
)

// Estimate is what is expected of the run time of a kind.
type Estimate struct {
	// Low is reached by nine of ten runs.
	Low    time.Duration
	Median time.Duration
	// Mean includes stragglers; it is the slot time that a request costs on average.
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
	estimator *Estimator
	declared  time.Duration
	runs      histogram
	cached    Estimate
	stale     int
}

func newLearner(estimator *Estimator, kind describer.Kind) *Learner {
	l := &Learner{estimator: estimator, runs: newHistogram(learnerMemory)}
	l.declare(kind)
	return l
}

func (l *Learner) declare(kind describer.Kind) {
	l.declared = time.Duration(kind.ExpectedMilliseconds) * time.Millisecond
	l.refresh()
}

// Observe learns from an attempt that ran to its end. Failed attempts must not be given: a fast failure says nothing
// about the run time of the kind.
func (l *Learner) Observe(elapsed time.Duration) {
	l.runs.add(elapsed)
	l.stale++
	if l.stale >= refreshEvery || l.runs.samples <= refreshEvery {
		l.refresh()
	}
}

// ObserveAtLeast learns from an attempt that was ended early. Without it a kind whose runs are cut off at their
// deadline would look as short as the runs that succeed.
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
	l.stale = 0
	if l.estimator.learning && l.runs.samples >= enoughSamples {
		l.cached = l.learned()
		return
	}
	run := l.declared
	if run <= 0 {
		run = defaultRun
	}
	l.cached = Estimate{Median: run, Mean: run, High: run, Overdue: l.overdueAfter(run)}
}

func (l *Learner) learned() Estimate {
	median := l.runs.quantile(medianShare)
	overdue := l.overdueAfter(median)
	return Estimate{
		Low:            l.runs.quantile(lowShare),
		Median:         median,
		Mean:           l.runs.mean(),
		High:           l.runs.quantile(highShare),
		Overdue:        overdue,
		StragglerShare: l.runs.shareAbove(overdue),
	}
}

// overdueAfter is at least the long limit, because work below it is not long however much it exceeds its median.
func (l *Learner) overdueAfter(median time.Duration) time.Duration {
	overdue := longFactor * median
	if limit := l.estimator.LongLimit(); limit < noLimit {
		overdue = max(overdue, limit)
	}
	return overdue
}
