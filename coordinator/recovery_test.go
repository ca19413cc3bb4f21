package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestTakeoverWaitsForOneSlowRead guards against accepted jobs that have nothing running for as long as all reads of a new owner
// take one after the other, while the store is slow.
func TestTakeoverWaitsForOneSlowRead(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		const slow = time.Second
		c.stores[1].listDelay.Store(int64(slow))
		require.NoError(t, c.instances[0].Stop())
		c.instances[0] = nil
		require.NoError(t, c.submit(1, "a"))
		// The candidate lists the members twice before the election, and the new owner once for advice calls.
		time.Sleep(4*slow + 2*runTime)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
	})
}
