package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// TestCandidatesDifferBetweenShards guards against shards that all have the same candidates, mostly those of one zone, so that no
// candidate of any shard is left after its loss.
func TestCandidatesDifferBetweenShards(t *testing.T) {
	const shards, minimum = 3, candidates * 3 / 2
	var members []member
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 8 {
			members = append(members, member{Instance: fmt.Sprintf("front-%s-%d", zone, i), Processors: 0.8})
		}
	}
	found := make(map[string]bool)
	for shard := range shards {
		count := 0
		for _, m := range members {
			if isCandidate(m, members, fmt.Sprint(shard)) {
				found[m.Instance] = true
				count++
			}
		}
		require.Equal(t, candidates, count)
	}
	require.GreaterOrEqual(t, len(found), minimum)
}

// TestSmallInstanceWaitsForLargerOnesAfterOutage guards against a small instance that becomes the owner of a large cell because it
// registers before the larger ones when the store has been down for longer than the leases of members.
func TestSmallInstanceWaitsForLargerOnesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := fakekeeper.NewTransactional()
		small, large := NewMembership(store, "small", "small:1", 0.144), NewMembership(store, "large", "large:1", 0.8)
		c := &Coordinator{settings: settings{instance: "small", processors: 0.144, membership: small}}
		var leases []keeper.LeaseID
		for _, m := range []*Membership{small, large} {
			lease, err := m.join(ctx)
			require.NoError(t, err)
			leases = append(leases, lease)
		}
		require.Equal(t, largerInstanceDelay, c.electionDelay(ctx))
		for _, lease := range leases {
			require.NoError(t, store.Revoke(ctx, lease))
		}
		_, err := small.join(ctx)
		require.NoError(t, err)
		require.Equal(t, largerInstanceDelay, c.electionDelay(ctx))
		time.Sleep(rejoinTime)
		require.Zero(t, c.electionDelay(ctx), "the larger instance has not come back")
	})
}
