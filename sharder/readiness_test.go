package sharder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
)

// TestReadinessFollowsStore guards against an instance without requests that is ready for another second after the store stopped
// serving it, against one that becomes unready because the store is slow, and against more than one additional read for each
// check.
func TestReadinessFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 12)
		time.Sleep(5 * time.Second)
		require.True(t, c.instances[0].CheckReady(t.Context()))

		const checks = 20
		readsOf := func(check func()) int64 {
			before := c.store.Calls().Reads
			for range checks {
				time.Sleep(time.Second)
				check()
			}
			return c.store.Calls().Reads - before
		}
		without := readsOf(func() {})
		with := readsOf(func() { require.True(t, c.instances[0].CheckReady(t.Context())) })
		require.LessOrEqual(t, with-without, int64(checks))

		c.store.SetFaults(fakekeeper.Faults{Delay: 250 * time.Millisecond})
		for range 5 {
			time.Sleep(time.Second)
			require.True(t, c.instances[0].CheckReady(t.Context()))
		}

		c.store.SetFaults(fakekeeper.Faults{Down: true})
		time.Sleep(150 * time.Millisecond)
		for range 3 {
			require.False(t, c.instances[0].CheckReady(t.Context()))
			time.Sleep(time.Second)
		}

		c.store.SetFaults(fakekeeper.Faults{})
		time.Sleep(time.Second)
		c.instances[0].CheckReady(t.Context())
		time.Sleep(time.Second)
		require.True(t, c.instances[0].CheckReady(t.Context()))
		c.instances[0].Drain()
		require.False(t, c.instances[0].CheckReady(t.Context()))
		c.stop()
	})
}
