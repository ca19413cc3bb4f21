package calibrator

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestoredSpeedsTakeEffect guards against an owner that does not know the speeds that an earlier one has stored, and against one that
// forgets them before it has seen ends.
func TestRestoredSpeedsTakeEffect(t *testing.T) {
	const servers = 175
	c := newCell(1, servers, 0.7, 0.7, 1.7)
	for i, speed := range c.speeds {
		c.Restore(c.now, serverID(i), speed)
	}
	for _, at := range []time.Duration{0, 30 * time.Second} {
		c.changed, c.solveNotBefore = true, time.Time{}
		require.True(t, c.Update(c.now.Add(at)))
		require.True(t, c.InEffect())
		for i, speed := range c.speeds {
			want := Slow
			if speed > 1 {
				want = Fast
			}
			require.Equal(t, want, c.Of(serverID(i)).Class)
		}
	}
}

// TestWrongRestoredSpeedsAreCorrected guards against stored speeds that hold although the ends of runs contradict them: those of a slow
// period of some servers, and those of a cell whose servers are alike by now.
func TestWrongRestoredSpeedsAreCorrected(t *testing.T) {
	const servers, minute = 175, time.Minute
	c := newCell(2, servers, 0.7, 0.7, 1.7)
	for i, speed := range c.speeds {
		if i%5 == 0 {
			speed = 0.5
		}
		c.Restore(c.now, serverID(i), speed)
	}
	c.playFor(minute)
	for i, speed := range c.speeds {
		if speed > 1 {
			require.NotEqual(t, Slow, c.Of(serverID(i)).Class, "server %d", i)
		}
	}
	alike := newCell(3, servers, 1)
	for i := range servers {
		alike.Restore(alike.now, serverID(i), []float64{0.7, 0.7, 1.7}[i%3])
	}
	alike.playFor(minute)
	require.False(t, alike.InEffect())
}

// TestImpossibleSpeedsAreNotRestored guards against an entry of another writer that spoils the estimates of all servers.
func TestImpossibleSpeedsAreNotRestored(t *testing.T) {
	for _, factor := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9, 1e-9} {
		c := New()
		c.Restore(time.Unix(1, 0), "i-1", factor)
		require.Empty(t, c.servers, factor)
	}
}
