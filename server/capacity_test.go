package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestCapacityShrinksBeforeItGrows guards against a member that increases its share while another member still uses more
// than the new capacity allows it.
func TestCapacityShrinksBeforeItGrows(t *testing.T) {
	var rollout capacityRollout
	first := capacityOfServer{slots: 8, connections: 64}
	require.Equal(t, first, rollout.update(first, 1), "the first capacity is used immediately")

	fewerSlots := capacityOfServer{slots: 4, connections: 64}
	require.Equal(t, capacityOfServer{slots: 4, connections: 32}, rollout.update(fewerSlots, 2),
		"the connections of a slot do not grow yet")
	_, grown := rollout.grow(1)
	require.False(t, grown, "a member has not applied ticket 2")
	use, grown := rollout.grow(2)
	require.True(t, grown)
	require.Equal(t, fewerSlots, use)

	moreSlots := capacityOfServer{slots: 16, connections: 64}
	require.Equal(t, capacityOfServer{slots: 4, connections: 16}, rollout.update(moreSlots, 3))
	require.Equal(t, capacityOfServer{slots: 4, connections: 16}, rollout.update(moreSlots, 4), "ticket 4 changed something else")
	use, grown = rollout.grow(3)
	require.True(t, grown)
	require.Equal(t, moreSlots, use)

	uneven := capacityOfServer{slots: 16, connections: 50}
	rollout.update(uneven, 5)
	rollout.grow(5)
	require.Equal(t, uneven, rollout.update(uneven, 6), "another ticket does not take the remaining connections away")
}

// TestConfiguredCapacity guards against a backend server that gets the sum or the largest of its services' capacities
// instead of the smallest.
func TestConfiguredCapacity(t *testing.T) {
	require.Zero(t, configuredCapacity(nil))
	require.Equal(t, capacityOfServer{slots: 4, connections: 32}, configuredCapacity([]describer.Service{
		{SlotsPerBackendServer: 8, ConnectionsPerBackendServer: 32},
		{SlotsPerBackendServer: 4, ConnectionsPerBackendServer: 64},
	}))
}
