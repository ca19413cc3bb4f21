package elector

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndOfLaterEpochIsNotDropped guards against a resignation lost behind one for an earlier epoch.
func TestEndOfLaterEpochIsNotDropped(t *testing.T) {
	e := New(nil, Owner{}, nil, nil, nil)
	e.OwnershipLost(1, "key was taken away")
	e.Resign(2, "instance stops")
	e.OwnershipLost(1, "key was taken away")
	pending := <-e.resignations
	require.EqualValues(t, 2, pending.epoch)
	require.Equal(t, "instance stops", pending.reason)
	require.True(t, pending.cooldown)
	require.Empty(t, e.resignations)
}
