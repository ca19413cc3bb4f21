package registrar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHealthIsDeliveredInOrder guards against an instance that never joins its zone. When a renewal and a read got
// their responses at the same time, "reachable" could be delivered before an outdated "unreachable", which then stayed.
func TestHealthIsDeliveredInOrder(t *testing.T) {
	var h health
	var delivered []bool
	report := func(source healthSource, responded bool) {
		h.report(source, responded, func(reachable bool) {
			require.False(t, h.mu.TryLock(), "another source may deliver between the decision and the delivery")
			delivered = append(delivered, reachable)
		})
	}
	report(leaseRenewals, true)
	report(zoneReads, true)
	report(zoneReads, true)
	report(leaseRenewals, false)
	report(leaseRenewals, true)
	require.Equal(t, []bool{false, true, false, true}, delivered)
}
