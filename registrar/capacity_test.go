package registrar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// TestLimitedShares guards against members whose shares add up to more than a decreased capacity, and against shares
// that are too small although all slots are granted. In some rounds not all slots are granted, as while slots are
// handed over.
func TestLimitedShares(t *testing.T) {
	const seed = 20261204
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for round := range 500 {
		members := 1 + random.IntN(5)
		adopted := assigner.Assignment{Positions: make([]assigner.Owner, assigner.PositionCount)}
		for i := range adopted.Positions {
			adopted.Positions[i].Instance = describer.InstanceID(fmt.Sprint(random.IntN(members)))
		}
		server := describer.BackendServerID(fmt.Sprintf("server-%d", round))
		slots, complete, sum, connections := 1+random.IntN(8), random.IntN(2) == 0, 0, 0
		for member := range members {
			c := capacity{adopted: adopted, owner: assigner.Owner{Instance: describer.InstanceID(fmt.Sprint(member))}}
			c.set(8, 64)
			granted, within := 0, 0
			for slot := range 8 {
				if adopted.Positions[assigner.PositionOf(server, slot)] != c.owner || !complete && random.IntN(3) == 0 {
					continue
				}
				granted++
				if slot < slots {
					within++
				}
			}
			require.False(t, c.set(slots, 64))
			limited := c.limit(assigner.Share{BackendServer: server, Slots: granted})
			require.LessOrEqual(t, limited.Slots, within, "only granted slots within the capacity")
			sum, connections = sum+limited.Slots, connections+limited.Connections
		}
		require.LessOrEqual(t, connections, 64)
		if complete {
			require.Equal(t, slots, sum)
		}
	}
}
