package keeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/keeper"
)

// TestPatience guards against long waits for lost answers of a fast store, and against a slow store that is never waited
// for.
func TestPatience(t *testing.T) {
	var patience keeper.Patience
	require.Equal(t, 150*time.Millisecond, patience.Timeout(0))
	require.Equal(t, 300*time.Millisecond, patience.Timeout(1))
	require.Equal(t, 800*time.Millisecond, patience.Timeout(9))
	patience.Observe(240 * time.Millisecond)
	require.Equal(t, 720*time.Millisecond, patience.Timeout(0))
	patience.Observe(5 * time.Millisecond)
	require.Equal(t, 150*time.Millisecond, patience.Timeout(0))
}
