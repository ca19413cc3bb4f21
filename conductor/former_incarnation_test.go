package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestOutdatedEntryAfterTwoRestarts guards against a server that stays unusable: its clock was set back, it has restarted again, and an entry
// from before both restarts then arrives, so that all responses of the present incarnation seem to be from a former one.
func TestOutdatedEntryAfterTwoRestarts(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 1, "a")
	s := c.sessions["i-0000"]
	e := specifier.Server{ID: s.id, Service: "a", Capacity: s.server.Capacity, Incarnation: 300}
	c.updateServer(now, s, e)
	respond := func(asked, incarnation int64) {
		s.renewalSequence++
		c.renewalEnded(now, RenewEnded{
			Server: s.id, Result: specifier.OrderDone, Sequence: s.renewalSequence, Fence: s.fence, Incarnation: asked, SentAt: now,
			Report: specifier.ServerReport{Incarnation: incarnation},
		})
	}
	respond(300, 300)
	respond(300, 100)
	require.EqualValues(t, 100, s.server.Incarnation)
	respond(100, 200)
	require.EqualValues(t, 200, s.server.Incarnation)
	c.updateServer(now, s, e)
	e.Incarnation = 200
	for range 5 {
		now = now.Add(time.Second)
		respond(s.server.Incarnation, 200)
		c.updateServer(now, s, e)
	}
	require.EqualValues(t, 200, s.server.Incarnation)
}
