package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestServerIsUsedByItsOwnEntry guards against a server that is used by the entry of an earlier incarnation, which was written or read
// late, and against one that is not used although its own entry was read.
func TestServerIsUsedByItsOwnEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, 1)
	entry := func(incarnation int64, label string) ServersListed {
		return ServersListed{Servers: []specifier.Server{{
			ID: "s1", Address: "10.0.0.1:1", Incarnation: incarnation, Labels: []string{label},
		}}}
	}
	respond := func(incarnation int64) {
		now = now.Add(2 * time.Second)
		r := renewal(t, c.Plan(now))
		c.Handle(now, RenewEnded{
			Server: "s1", Incarnation: r.Server.Incarnation, Sequence: r.Sequence, Fence: r.Fence, SentAt: now, Result: specifier.OrderDone,
			Report: specifier.ServerReport{Incarnation: incarnation, Clock: time.Minute},
		})
	}
	c.Handle(now, entry(1, "a"))
	respond(1)
	s := c.sessions["s1"]
	require.True(t, s.usable(now))

	c.Handle(now, entry(2, "b"))
	c.Handle(now, entry(1, "a"))
	respond(2)
	require.True(t, s.usable(now))
	require.Equal(t, []string{"b"}, s.server.Labels)

	respond(3)
	respond(3)
	require.False(t, s.usable(now), "only an entry of an earlier incarnation was read")
	c.Handle(now, entry(2, "b"))
	require.False(t, s.usable(now))
	c.Handle(now, entry(3, "a"))
	require.True(t, s.usable(now))
	require.Equal(t, []string{"a"}, s.server.Labels)
}
