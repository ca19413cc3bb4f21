package assigner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestBalance guards against a join, a removal or a replacement that moves positions of uninvolved members, and against
// shares that differ by more than one position.
func TestBalance(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var record Assignment
	for i := range 9 {
		before := record
		owner := Owner{Instance: describer.InstanceID(fmt.Sprint(i)), Incarnation: 1}
		record = record.withMember(Member{Owner: owner}, now)
		requireMoved(t, before, record, owner, PositionCount/len(record.Members))
	}
	removed := record.Members[3].Owner
	replaced := record.withReplacement(removed, Member{Owner: Owner{Instance: "new", Incarnation: 1}}, now)
	requireMoved(t, record, replaced, removed, PositionCount/9+1)
	require.True(t, replaced.Previous[len(replaced.Previous)-1].Stopped)
	requireMoved(t, record, record.without([]Owner{removed}, now), removed, PositionCount/9+1)
}

// requireMoved checks that at most limit positions have moved, all of them to or from the given owner.
func requireMoved(t *testing.T, before, after Assignment, owner Owner, limit int) {
	moved := 0
	counts := make(map[Owner]int)
	for i, holder := range after.Positions {
		counts[holder]++
		if len(before.Positions) == 0 || before.Positions[i] == holder {
			continue
		}
		moved++
		require.True(t, holder == owner || before.Positions[i] == owner)
	}
	require.LessOrEqual(t, moved, limit)
	for _, count := range counts {
		require.InDelta(t, PositionCount/float64(len(after.Members)), count, 1)
	}
}
