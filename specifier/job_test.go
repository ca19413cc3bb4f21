package specifier_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestLateOccurrenceIsNotDueEarly guards against a time of an occurrence that overflows, so that the occurrence is due at once.
func TestLateOccurrenceIsNotDueEarly(t *testing.T) {
	first := time.Unix(1_700_000_000, 0)
	job := specifier.Job{Occurrences: math.MaxInt, First: first, Interval: 100 * 24 * time.Hour}
	require.Equal(t, first.Add(500*24*time.Hour), job.DueAt(5))
	due := job.DueAt(900)
	for _, occurrence := range []int{1000, 1067, 1_000_000, math.MaxInt} {
		require.False(t, job.DueAt(occurrence).Before(due), "occurrence %d", occurrence)
	}
	job.Interval = 0
	require.Equal(t, first, job.DueAt(math.MaxInt))
}
