package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestReportUnderEarlierFenceDoesNotReconcile guards against new runs beside a late start with an earlier token.
func TestReportUnderEarlierFenceDoesNotReconcile(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, 1)
	c.Handle(now, ServersListed{Servers: []specifier.Server{{ID: "s1", Address: "10.0.0.1:1"}}})
	first := renewal(t, c.Plan(now))
	s := c.sessions["s1"]
	s.add(&allocation{task: specifier.TaskID{}, state: outcomeUnknown, fence: s.fence})
	now = s.leaseEnd.Add(time.Second)
	c.Plan(now)
	require.Greater(t, s.fence, first.Fence)

	c.Handle(now, RenewEnded{Server: "s1", Sequence: first.Sequence, Fence: first.Fence, Result: specifier.OrderDone})
	require.False(t, s.reconciled, "the server has responded under an earlier fencing token")
	now = now.Add(time.Second)
	second := renewal(t, c.Plan(now))
	require.Equal(t, s.fence, second.Fence)
	c.Handle(now, RenewEnded{Server: "s1", Sequence: second.Sequence, Fence: second.Fence, Result: specifier.OrderDone})
	require.True(t, s.reconciled)
}

// TestStopOfFormerIncarnationDoesNotSettleStart guards against a second run of a task whose start got no response and whose stop
// only the former incarnation of its server has carried out: the next one may still carry out the start.
func TestStopOfFormerIncarnationDoesNotSettleStart(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, 1)
	c.Handle(now, ServersListed{Servers: []specifier.Server{{ID: "s1", Address: "10.0.0.1:1", Incarnation: 1}}})
	s := c.sessions["s1"]
	a := &allocation{task: specifier.TaskID{}, run: 1, state: sent, fence: s.fence, incarnation: 1}
	s.add(a)
	c.stop(now, s, a)
	c.Handle(now, OrderEnded{Server: "s1", Incarnation: 1, Run: 1, Fence: s.fence, Stop: true, Result: specifier.OrderDone})
	now = now.Add(time.Millisecond)
	first := renewal(t, c.Plan(now))
	c.Handle(now, RenewEnded{
		Server: "s1", Incarnation: 1, Sequence: first.Sequence, Fence: first.Fence, SentAt: now, Result: specifier.OrderDone,
		Report: specifier.ServerReport{Incarnation: 2},
	})
	require.Contains(t, s.allocations, a.task, "the token of the start is still valid")
	now = now.Add(time.Second)
	second := renewal(t, c.Plan(now))
	require.Greater(t, second.Fence, a.fence)
	c.Handle(now, RenewEnded{
		Server: "s1", Incarnation: 2, Sequence: second.Sequence, Fence: second.Fence, SentAt: now, Result: specifier.OrderDone,
		Report: specifier.ServerReport{Incarnation: 2},
	})
	require.NotContains(t, s.allocations, a.task)
}

// TestResponseToForgottenSessionIsIgnored guards against a server that counts as reachable by a response to a renewal that was sent
// before it was forgotten, and whose next responses count as older than that one.
func TestResponseToForgottenSessionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, 1)
	listed := ServersListed{Servers: []specifier.Server{{ID: "s1", Address: "10.0.0.1:1", Incarnation: 1}}}
	c.Handle(now, listed)
	var stale Renew
	for range 3 {
		now = now.Add(time.Second)
		stale = renewal(t, c.Plan(now))
		c.sessions["s1"].renewalInFlight = false
	}
	now = c.sessions["s1"].leaseEnd.Add(time.Second)
	c.Handle(now, ServersListed{})
	require.Empty(t, c.sessions)
	c.Handle(now, listed)
	first := renewal(t, c.Plan(now))
	answer := func(r Renew, clock time.Duration) {
		c.Handle(now, RenewEnded{
			Server: "s1", Incarnation: 1, Sequence: r.Sequence, Fence: r.Fence, SentAt: now, Result: specifier.OrderDone,
			Report: specifier.ServerReport{Incarnation: 1, Clock: clock},
		})
	}
	answer(stale, time.Second)
	require.False(t, c.sessions["s1"].reconciled)
	answer(first, time.Minute)
	require.True(t, c.sessions["s1"].reconciled)
	require.Equal(t, time.Minute, c.sessions["s1"].clock)
}

func renewal(t *testing.T, commands []Command) Renew {
	t.Helper()
	for _, command := range commands {
		if renew, ok := command.(Renew); ok {
			return renew
		}
	}
	require.Fail(t, "no renewal was sent")
	return Renew{}
}
