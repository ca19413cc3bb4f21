package sharder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestElectionsOfLargeCellNeedFewReads guards against a cell that never gets lasting owners: with 300 instances and eight shards,
// the reads of all instances in the elections of all shards exceeded the 2,000 reads a second that a store admitted, which then
// refused the owners' calls, too, so that the elections began again.
func TestElectionsOfLargeCellNeedFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, servers, shards = 100, 480, 3
		c := newCell(t, instances, servers)
		time.Sleep(15 * time.Second)
		require.Len(t, c.ownedShards(), shards)
		readsWithin := func(period time.Duration) int64 {
			before := c.store.Calls().Reads
			time.Sleep(period)
			return c.store.Calls().Reads - before
		}
		const period = 3 * time.Second
		quiet := readsWithin(period)
		for _, key := range []string{"egretring/0/owner", "egretring/1/owner", "egretring/2/owner"} {
			require.Len(t, c.store.Keys(key), 1)
			c.store.DeleteKey(key)
		}
		election := readsWithin(period)
		require.Less(t, election-quiet, int64(instances*shards))
		require.Len(t, c.ownedShards(), shards)
		c.stop()
	})
}

// ownedShards returns the instances that own shards, one for each.
func (c *cell) ownedShards() []int {
	var owners []int
	for i, instance := range c.instances {
		if instance.IsOwner() {
			owners = append(owners, i)
		}
	}
	return owners
}
