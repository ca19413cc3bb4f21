package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/retrier"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestEvidenceDecidesRetry guards against a second run of a non-repeatable request, and against a retry after bytes of
// a response have reached the caller.
func TestEvidenceDecidesRetry(t *testing.T) {
	for _, test := range []struct {
		evidence      describer.Evidence
		notRepeatable bool
		repeatable    bool
	}{
		{describer.Answered, false, false},
		{describer.NotSent, true, true},
		{describer.Refused, true, true},
		{describer.Failed, false, true},
		{describer.Truncated, false, true},
		{describer.Broken, false, true},
		{describer.Aborted, false, false},
	} {
		attempt := retrier.Attempt{Evidence: test.evidence}
		require.Equal(t, test.notRepeatable, retrier.Permitted(attempt), "%s, not repeatable", test.evidence)
		attempt.MayHaveRun = true
		require.False(t, retrier.Permitted(attempt), "%s, not repeatable, after an attempt that may have run", test.evidence)
		attempt.Repeatable = true
		require.Equal(t, test.repeatable, retrier.Permitted(attempt), "%s, repeatable", test.evidence)
		attempt.ResponseStarted = true
		require.False(t, retrier.Permitted(attempt), "%s, response started", test.evidence)
	}
}

// TestRetryIsDelayedAndEndsBeforeDeadline guards against a retry after the deadline, too many attempts, and backoff
// without growth or jitter.
func TestRetryIsDelayedAndEndsBeforeDeadline(t *testing.T) {
	base := retrier.Attempt{
		Service: "tally", Deadline: start.Add(time.Second), Repeatable: true, Evidence: describer.Failed, Attempts: 1,
	}
	for _, test := range []struct {
		name   string
		change func(*retrier.Attempt)
		want   bool
	}{
		{"in time", func(*retrier.Attempt) {}, true},
		{"deadline before backoff", func(a *retrier.Attempt) { a.Deadline = start.Add(time.Millisecond) }, false},
		{"no time to run", func(a *retrier.Attempt) { a.MinRunTime = time.Second }, false},
		{"last attempt", func(a *retrier.Attempt) { a.Attempts = 4 }, false},
	} {
		attempt := base
		test.change(&attempt)
		require.Equal(t, test.want, retrier.New().Decide(start, attempt).Retry, test.name)
	}
	r := retrier.New(retrier.WithoutBudget(), retrier.WithAttempts(20))
	times := make(map[time.Time]bool)
	for range 100 {
		at := r.Decide(start, base).At
		require.WithinRange(t, at, start.Add(2500*time.Microsecond), start.Add(5*time.Millisecond))
		times[at] = true
	}
	require.Greater(t, len(times), 90)
	late := base
	late.Attempts = 15
	require.WithinRange(t, r.Decide(start, late).At, start.Add(250*time.Millisecond), start.Add(500*time.Millisecond))
	require.Equal(t, retrier.New().Decide(start, base), retrier.New().Decide(start, base), "equal seeds give equal times")
}

// TestRetriesAreLimitedByBudget guards against retries that multiply an overload, and against a budget that counts
// successes that are no longer recent or belong to another service.
func TestRetriesAreLimitedByBudget(t *testing.T) {
	attempt := retrier.Attempt{
		Service: "tally", Deadline: start.Add(time.Hour), Repeatable: true, Evidence: describer.Failed, Attempts: 1,
	}
	count := func(r *retrier.Retrier, now time.Time, evidence describer.Evidence) int {
		attempt.Evidence = evidence
		retries := 0
		for range 10_000 {
			if r.Decide(now, attempt).Retry {
				retries++
			}
		}
		return retries
	}
	succeeded := func() *retrier.Retrier {
		r := retrier.New()
		for range 1000 {
			r.RecordSuccess(start, "tally")
		}
		return r
	}
	require.Equal(t, 3, count(retrier.New(), start, describer.Failed))
	require.Equal(t, 103, count(succeeded(), start, describer.Failed))
	require.Equal(t, 412, count(succeeded(), start, describer.NotSent))
	require.Equal(t, 3, count(succeeded(), start.Add(time.Minute), describer.Failed))
	other := retrier.New()
	other.RecordSuccess(start, "label")
	require.Equal(t, 3, count(other, start, describer.Failed))
	require.Equal(t, 10_000, count(retrier.New(retrier.WithoutBudget()), start, describer.Failed))
}
