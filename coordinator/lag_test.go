package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLagDetector guards against an owner on a slow instance that delays the whole cell, and against a handover for a short
// delay or right after the ownership began.
func TestLagDetector(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const verySlow, slow, fast = 150 * time.Millisecond, 50 * time.Millisecond, 8 * time.Millisecond
	// Each delay is the maximum of a window; the first window ends with the first event.
	cases := []struct {
		name   string
		owned  time.Duration
		delays []time.Duration
		want   bool
	}{
		{"healthy", time.Minute, []time.Duration{fast, fast, fast, fast, fast}, false},
		{"slow", time.Minute, []time.Duration{fast, slow, slow, slow}, true},
		{"very slow", time.Minute, []time.Duration{fast, verySlow, verySlow}, true},
		{"one long pause", time.Minute, []time.Duration{fast, time.Second, fast, fast, slow, slow}, false},
		{"slow most of the time", time.Minute, []time.Duration{slow, slow, fast, slow, slow}, true},
		{"short delays", time.Minute, []time.Duration{slow, fast, slow, fast, slow, slow, fast}, false},
		{
			"slow long ago", time.Minute,
			[]time.Duration{verySlow, verySlow, verySlow, verySlow, verySlow, fast, fast, fast, slow},
			false,
		},
		{"fast again", time.Minute, []time.Duration{verySlow, verySlow, verySlow, fast}, false},
		{"new owner", time.Second, []time.Duration{slow, slow, slow, slow}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			detector := lagDetector{beganAt: start.Add(-c.owned)}
			handOver := false
			for i, delay := range c.delays {
				handOver = detector.observe(start.Add(time.Duration(i)*lagWindow), delay)
			}
			require.Equal(t, c.want, handOver)
		})
	}
}
