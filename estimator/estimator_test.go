package estimator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/estimator"
)

var services = []describer.Service{{ID: "tally", Kinds: map[describer.KindID]describer.Kind{
	"count": {ExpectedMilliseconds: 1000}, "merge": {ExpectedMilliseconds: 10},
}}}

func newEstimator(opts ...estimator.Option) *estimator.Estimator {
	e := estimator.New(opts...)
	e.SetServices(services)
	return e
}

// TestLearnedRunTimeReplacesDeclared guards against the use of a declared run time that is a hundred times too long
// although actual run times have been observed.
func TestLearnedRunTimeReplacesDeclared(t *testing.T) {
	e := newEstimator()
	learner := e.LearnerOf("tally", "count")
	require.Equal(t, time.Second, learner.Estimate().Median)
	for i := range 1000 {
		run := 10 * time.Millisecond
		if i%50 == 0 {
			run = time.Second
		}
		learner.Observe(run)
	}
	estimate := learner.Estimate()
	require.InEpsilon(t, 10*time.Millisecond, estimate.Median, 0.25)
	require.InEpsilon(t, 10*time.Millisecond, estimate.High, 0.25)
	require.InDelta(t, 30*time.Millisecond, estimate.Mean, float64(15*time.Millisecond), "the mean includes stragglers")
	require.InDelta(t, 0.02, estimate.StragglerShare, 0.01)
	require.InEpsilon(t, 40*time.Millisecond, estimate.Overdue, 0.25)

	fixed := newEstimator(estimator.WithoutLearning()).LearnerOf("tally", "count")
	for range 100 {
		fixed.Observe(10 * time.Millisecond)
	}
	require.Equal(t, time.Second, fixed.Estimate().Median)
}

// TestEstimateFollowsChange guards against an estimate that old samples keep from following a change of the run time.
func TestEstimateFollowsChange(t *testing.T) {
	learner := newEstimator().LearnerOf("tally", "count")
	for range 100_000 {
		learner.Observe(10 * time.Millisecond)
	}
	for range 400 {
		learner.Observe(80 * time.Millisecond)
	}
	require.InEpsilon(t, 80*time.Millisecond, learner.Estimate().Median, 0.25)
}

// TestAbortedRunsRaiseEstimate guards against a kind that counts as short because its long runs are always aborted.
func TestAbortedRunsRaiseEstimate(t *testing.T) {
	learner := newEstimator().LearnerOf("tally", "merge")
	for range 50 {
		learner.ObserveAtLeast(5 * time.Millisecond)
	}
	require.Equal(t, 10*time.Millisecond, learner.Estimate().Median, "a lower bound below the median is ignored")
	for range 50 {
		learner.ObserveAtLeast(2 * time.Second)
	}
	require.InEpsilon(t, 2*time.Second, learner.Estimate().Median, 0.25)
}

// TestLongLimitSeparatesLongFromShortWork guards against long work that is not distinguished from short work, and
// against a mix without short work that all counts as long.
func TestLongLimitSeparatesLongFromShortWork(t *testing.T) {
	for _, test := range []struct {
		name         string
		shortPercent int
		long         bool
	}{{"mixed", 50, true}, {"few short", 15, true}, {"only long", 0, false}} {
		e := newEstimator()
		for i := range 2000 {
			median := time.Second
			if i%100 < test.shortPercent {
				median = 10 * time.Millisecond
			}
			e.ObserveArrival(median)
		}
		require.Equal(t, test.long, e.IsLong(estimator.Estimate{Median: time.Second}), test.name)
		require.False(t, e.IsLong(estimator.Estimate{Median: 10 * time.Millisecond}), test.name)
	}
}

// TestUnknownKindsShareLearner guards against callers that use up memory with invented kinds.
func TestUnknownKindsShareLearner(t *testing.T) {
	e := newEstimator()
	require.Same(t, e.LearnerOf("tally", "invented"), e.LearnerOf("tally", "other"))
	require.Nil(t, e.LearnerOf("unknown", "count"))
	count := e.LearnerOf("tally", "count")
	e.SetServices(services)
	require.Same(t, count, e.LearnerOf("tally", "count"))
}
