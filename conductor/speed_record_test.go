package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoredSpeedsStayUntilOwnAreKnown guards against an owner that removes the stored speeds before it can have learned them, so that the
// owner after it has none, and against a record that stays although the servers are alike by now.
func TestStoredSpeedsStayUntilOwnAreKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New(now, 1)
	c.restoreSpeeds(now, []ServerSpeed{{Server: "i-1", Incarnation: 1, Factor: 1.5}})
	recorded := func(at time.Time) []RecordSpeeds {
		c.commands = nil
		c.recordSpeeds(at)
		var found []RecordSpeeds
		for _, command := range c.commands {
			if r, ok := command.(RecordSpeeds); ok {
				found = append(found, r)
			}
		}
		return found
	}
	require.Empty(t, recorded(now.Add(recordSpeedsInterval-time.Millisecond)))
	require.Equal(t, []RecordSpeeds{{}}, recorded(now.Add(recordSpeedsInterval)))
	require.Empty(t, recorded(now.Add(2*recordSpeedsInterval)))
}
