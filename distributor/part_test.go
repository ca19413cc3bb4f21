package distributor

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// entriesOf returns the store entries of a snapshot with random texts, which compression hardly makes smaller.
func entriesOf(t *testing.T, number int64, servers int) []keeper.Entry {
	random := rand.NewChaCha8([32]byte{byte(servers)})
	reason := make([]byte, 1000)
	state := ticketer.State{}.WithApplied(number)
	for i := range servers {
		id := describer.BackendServerID(fmt.Sprint(i))
		_, _ = random.Read(reason)
		drained := ticketer.DrainedServer{BackendServer: id, Reason: hex.EncodeToString(reason)}
		state = state.WithDrainedServer(id, &drained)
	}
	parts, err := partsOf(state.Snapshot(), "w")
	require.NoError(t, err)
	var entries []keeper.Entry
	for i, one := range parts {
		value, err := json.Marshal(one)
		require.NoError(t, err)
		require.Less(t, len(value), 1_000_000)
		entries = append(entries, keeper.Entry{Key: partKey(number, i), Value: value})
	}
	return entries
}

// TestSnapshotParts guards against a part that the store refuses because of its size, and against the use of a snapshot
// of which a part is missing, damaged or from another writer.
func TestSnapshotParts(t *testing.T) {
	old, recent, other := entriesOf(t, 500, 1), entriesOf(t, 1000, 1000), entriesOf(t, 1000, 1001)
	require.Greater(t, len(recent), 1)
	require.Len(t, other, len(recent))
	join := func(lists ...[]keeper.Entry) (all []keeper.Entry) {
		for _, list := range lists {
			all = append(all, list...)
		}
		return all
	}
	tests := map[string]struct {
		entries []keeper.Entry
		applied int64
	}{
		"none":                   {nil, 0},
		"the highest wins":       {join(old, recent), 1000},
		"the last part missing":  {join(old, recent[:len(recent)-1]), 500},
		"the first part missing": {join(old, recent[1:]), 500},
		"parts of two writers":   {join(old, recent[:1], other[1:]), 500},
		"not JSON":               {join(old, []keeper.Entry{{Key: partKey(1000, 0), Value: []byte("{")}}), 500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot, ok := latestSnapshot(test.entries)
			require.Equal(t, test.applied > 0, ok)
			require.Equal(t, test.applied, snapshot.Applied)
		})
	}
}
