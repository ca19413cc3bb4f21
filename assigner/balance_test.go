package assigner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestBalance guards against a join, a death or a replacement that moves positions of members that it does not
// concern, and against shares that differ by more than one position.
func TestBalance(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var record Assignment
	for i := range 9 {
		before := record
		owner := Owner{Instance: describer.InstanceID(fmt.Sprint(i)), Incarnation: 1}
		record = record.withMember(Member{Owner: owner}, now)
		requireMoved(t, before, record, owner, PositionCount/len(record.Members))
	}
	gone := record.Members[3].Owner
	replaced := record.withReplacement(gone, Member{Owner: Owner{Instance: "new", Incarnation: 1}}, now)
	requireMoved(t, record, replaced, gone, PositionCount/9+1)
	require.True(t, replaced.Previous[len(replaced.Previous)-1].Stopped)
	requireMoved(t, record, record.without([]Owner{gone}, now), gone, PositionCount/9+1)
}

// requireMoved checks that only positions to or from one owner have moved, at most a number of them.
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
