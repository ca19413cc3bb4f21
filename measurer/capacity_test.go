package measurer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFitLineExactAndWorstError guards against a fitted line that misses points although they lie exactly on one line,
// and against an understated largest error.
func TestFitLineExactAndWorstError(t *testing.T) {
	exact := fitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	require.InDelta(t, 2, exact.slope, 1e-9)
	require.InDelta(t, 3, exact.intercept, 1e-9)
	require.InDelta(t, 0, exact.worst, 1e-9)
	// The line is 0.2 + 1.2x, which gives 2.6 instead of 1 at 2.
	bent := fitLine([]float64{0, 1, 2, 3}, []float64{1, 1, 1, 5})
	require.InDelta(t, 1.6, bent.worst, 1e-9)
}

// TestOwnershipZoneSettles guards against measuring members that are not in the assignment record or may not start work
// yet, which costs less than normal operation.
func TestOwnershipZoneSettles(t *testing.T) {
	for _, members := range []int{1, 3, 8} {
		zone := newOwnershipZone(members, 16)
		require.True(t, zone.settled(), "members: %d", members)
		require.Empty(t, zone.record.Previous, "members: %d", members)
	}
}

// TestPlacementZoneFills guards against measuring starts on backend servers with fewer running tasks than the name of
// the figure states.
func TestPlacementZoneFills(t *testing.T) {
	zone := newPlacementZone(16, 16*tasksPerServer)
	require.Len(t, zone.running, 16*tasksPerServer)
	zone.endOldest()
	zone.assign()
	zone.tick()
	require.Len(t, zone.running, 16*tasksPerServer)
}

// TestRecordStoreHoldsAllTasks guards against measuring shards before the journal has written all records into them.
func TestRecordStoreHoldsAllTasks(t *testing.T) {
	few, many := newRecordStore(500), newRecordStore(1_000)
	require.InDelta(t, 2, many.total()/few.total(), 0.4)
	require.Greater(t, few.total(), 500.0*200)
}

// TestKeyedRequestsAreNotRejected guards against measuring requests whose keys are rejected, which costs less than
// running them.
func TestKeyedRequestsAreNotRejected(t *testing.T) {
	records := newDeduplicator(100)
	beginAndEndKeys(records, keyTexts(100))
	require.Equal(t, 100, records.Len())
}
