package keeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/keeper"
)

// TestTimeoutFollowsLastResponseTime guards against long timeouts for the lost responses of a fast store, and against
// timeouts that are too short for every response of a slow store.
func TestTimeoutFollowsLastResponseTime(t *testing.T) {
	var timeout keeper.AdaptiveTimeout
	require.Equal(t, 150*time.Millisecond, timeout.Timeout(0))
	require.Equal(t, 300*time.Millisecond, timeout.Timeout(1))
	require.Equal(t, 800*time.Millisecond, timeout.Timeout(9))
	timeout.Observe(240 * time.Millisecond)
	require.Equal(t, 720*time.Millisecond, timeout.Timeout(0))
	timeout.Observe(5 * time.Millisecond)
	require.Equal(t, 150*time.Millisecond, timeout.Timeout(0))
}
