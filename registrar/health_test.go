package registrar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHealthIsDeliveredInOrder guards against an instance that never joins its zone: a renewal and a read that were
// answered at the same time could deliver "reachable" first and then, for good, "unreachable".
func TestHealthIsDeliveredInOrder(t *testing.T) {
	var h health
	var delivered []bool
	report := func(source healthSource, answered bool) {
		h.report(source, answered, func(reachable bool) {
			require.False(t, h.mu.TryLock(), "another source may deliver between the decision and the delivery")
			delivered = append(delivered, reachable)
		})
	}
	report(renewals, true)
	report(reads, true)
	report(reads, true)
	report(renewals, false)
	report(renewals, true)
	require.Equal(t, []bool{false, true, false, true}, delivered)
}
