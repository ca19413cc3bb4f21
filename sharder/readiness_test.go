package sharder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
)

// TestReadinessFollowsStore guards against an instance without requests that is ready for another second after the store stopped
// serving it, against one that becomes unready because the store is slow, and against more than a read for each check.
func TestReadinessFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 12)
		time.Sleep(5 * time.Second)
		require.True(t, c.instances[0].CheckReady(t.Context()))

		c.store.SetFaults(fakekeeper.Faults{Delay: 250 * time.Millisecond})
		time.Sleep(time.Second)
		for range 5 {
			before := c.store.Calls().Reads
			require.True(t, c.instances[0].CheckReady(t.Context()))
			require.LessOrEqual(t, c.store.Calls().Reads-before, int64(2))
			time.Sleep(time.Second)
		}

		c.store.SetFaults(fakekeeper.Faults{Down: true})
		time.Sleep(150 * time.Millisecond)
		require.False(t, c.instances[0].CheckReady(t.Context()))

		c.store.SetFaults(fakekeeper.Faults{})
		time.Sleep(time.Second)
		require.True(t, c.instances[0].CheckReady(t.Context()))
		c.instances[0].Drain()
		require.False(t, c.instances[0].CheckReady(t.Context()))
		c.stop()
	})
}
