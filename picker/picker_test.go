package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/picker"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func serverID(i int) describer.BackendServerID {
	return describer.BackendServerID(fmt.Sprintf("b%d", i))
}

func newPicker(servers, slots int, opts ...picker.Option) *picker.Picker {
	p := picker.New(opts...)
	described := make([]describer.BackendServer, servers)
	shares := make([]picker.Share, servers)
	for i := range servers {
		described[i] = describer.BackendServer{ID: serverID(i), State: describer.Live}
		shares[i] = picker.Share{BackendServer: serverID(i), Slots: slots, Connections: 8 * slots}
	}
	p.SetServers(start, described)
	p.SetShares(shares)
	return p
}

// run starts attempts one after another, each ending immediately with the evidence of its server, and returns how often
// each server was picked.
func run(p *picker.Picker, attempts int, evidence func(describer.BackendServerID) describer.Evidence) map[describer.BackendServerID]int {
	picked := make(map[describer.BackendServerID]int)
	for range attempts {
		id, _ := p.Pick(picker.Preferences{MayProbe: true})
		picked[id]++
		p.Release(start, id, evidence(id))
	}
	return picked
}

func failingServers(bad ...describer.BackendServerID) func(describer.BackendServerID) describer.Evidence {
	return func(id describer.BackendServerID) describer.Evidence {
		for _, b := range bad {
			if b == id {
				return describer.Failed
			}
		}
		return describer.Answered
	}
}

// TestRulesStayWithinShares guards against a rule that uses more slots or connections than owned, or leaves some idle.
func TestRulesStayWithinShares(t *testing.T) {
	for _, rule := range []picker.Rule{picker.LeastLoaded, picker.TwoChoices, picker.Random, picker.RoundRobin} {
		p := newPicker(5, 3, picker.WithRule(rule))
		picked := make(map[describer.BackendServerID]int)
		for range 15 {
			id, ok := p.Pick(picker.Preferences{})
			require.True(t, ok)
			picked[id]++
			require.LessOrEqual(t, picked[id], 3, "rule %d", rule)
		}
		_, ok := p.Pick(picker.Preferences{})
		require.False(t, ok)
		p.SetShares([]picker.Share{{BackendServer: "b0", Slots: 4, Connections: 2}})
		for range 2 {
			p.Release(start, "b0", describer.Answered)
		}
		_, ok = p.Pick(picker.Preferences{})
		require.True(t, ok, "two connections are owned and one attempt runs")
		_, ok = p.Pick(picker.Preferences{})
		require.False(t, ok, "no connection is left")
	}
}

// TestFailingServerDoesNotAttractLoad guards against a server that fails quickly and is chosen because its slots
// are free.
func TestFailingServerDoesNotAttractLoad(t *testing.T) {
	bad := serverID(3)
	with := run(newPicker(12, 4), 1200, failingServers(bad))
	require.Less(t, with[bad], 6, "the other servers are idle as well")
	without := run(newPicker(12, 4, picker.WithoutEjection(), picker.WithRule(picker.Random)), 1200, failingServers(bad))
	require.Greater(t, without[bad], 50)
}

// TestFailuresEjectServer guards against servers that are ejected without reason or too late, and against more than a
// third of the servers being ejected at the same time.
func TestFailuresEjectServer(t *testing.T) {
	for _, test := range []struct {
		name     string
		servers  int
		bad      int
		evidence describer.Evidence
		failures int
		want     int
	}{
		{"few failures", 12, 1, describer.Failed, 4, 0},
		{"failed", 12, 1, describer.Failed, 5, 1},
		{"not sent", 12, 1, describer.NotSent, 5, 1},
		{"refused", 12, 1, describer.Refused, 5, 1},
		{"broken", 12, 2, describer.Broken, 5, 2},
		{"aborted by the caller", 12, 1, describer.Aborted, 20, 0},
		{"all servers fail", 12, 12, describer.Failed, 5, 4},
		{"a third of two servers", 2, 2, describer.Failed, 9, 0},
	} {
		p := newPicker(test.servers, 8)
		failures := make(map[describer.BackendServerID]int)
		for range test.servers * 8 {
			id, _ := p.Pick(picker.Preferences{})
			failures[id]++
		}
		for i := range test.bad {
			for range test.failures {
				p.Release(start, serverID(i), test.evidence)
				p.Pick(picker.Preferences{})
			}
		}
		require.Equal(t, test.want, p.Ejected(), test.name)
	}
}

// TestEjectedServerIsProbed guards against an ejected server that is never used again, or is fully used while it still
// fails.
func TestEjectedServerIsProbed(t *testing.T) {
	bad := serverID(0)
	p := newPicker(3, 1)
	for range 5 {
		p.Pick(picker.Preferences{})
		p.Pick(picker.Preferences{})
		p.Pick(picker.Preferences{})
		p.Release(start, bad, describer.Failed)
		p.Release(start, serverID(1), describer.Answered)
		p.Release(start, serverID(2), describer.Answered)
	}
	require.Equal(t, 1, p.Ejected())
	require.Equal(t, 2, p.Free())
	first, found := p.NextDeadline()
	require.True(t, found)
	p.Advance(first)
	id, _ := p.Pick(picker.Preferences{})
	require.NotEqual(t, bad, id, "a request that may run only once is no probe")
	p.Release(first, id, describer.Answered)
	id, _ = p.Pick(picker.Preferences{MayProbe: true})
	require.Equal(t, bad, id)
	p.Release(first, bad, describer.Failed)
	second, _ := p.NextDeadline()
	require.GreaterOrEqual(t, second.Sub(first), 2*time.Second, "the second ejection is longer")
	p.Advance(second)
	for range 3 {
		id, _ = p.Pick(picker.Preferences{MayProbe: true})
		require.Equal(t, bad, id)
		p.Release(second, bad, describer.Answered)
	}
	require.Zero(t, p.Ejected())
}

// TestLeavingServerGetsNoWork guards against new work on a server that is leaving while the instance list lags.
func TestLeavingServerGetsNoWork(t *testing.T) {
	live := []describer.BackendServer{{ID: "b0", State: describer.Live}}
	p := newPicker(1, 2)
	p.MarkLeaving(start, "b0")
	p.SetServers(start.Add(time.Second), live)
	_, ok := p.Pick(picker.Preferences{})
	require.False(t, ok)
	p.SetServers(start.Add(2*time.Second), nil)
	p.SetServers(start.Add(3*time.Second), live)
	_, ok = p.Pick(picker.Preferences{})
	require.True(t, ok, "the server has restarted")
	leaving := []describer.BackendServer{live[0].WithState(describer.Leaving)}
	p.SetServers(start.Add(4*time.Second), leaving)
	_, ok = p.Pick(picker.Preferences{})
	require.False(t, ok)
	p.SetServers(start.Add(30*time.Second), leaving)
	p.SetServers(start.Add(31*time.Second), live)
	p.Advance(start.Add(80 * time.Second))
	_, ok = p.Pick(picker.Preferences{})
	require.False(t, ok, "an older list arrived late")
	p.Advance(start.Add(91 * time.Second))
	_, ok = p.Pick(picker.Preferences{})
	require.True(t, ok, "the server is not leaving any more")
}

// TestRetryAvoidsFailedServer guards against a retry on the server that has just failed while another one is free.
func TestRetryAvoidsFailedServer(t *testing.T) {
	for _, rule := range []picker.Rule{picker.LeastLoaded, picker.TwoChoices} {
		p := newPicker(2, 1, picker.WithRule(rule))
		for range 10 {
			id, _ := p.Pick(picker.Preferences{Avoid: "b0"})
			if rule == picker.LeastLoaded {
				require.Equal(t, serverID(1), id)
			}
			p.Release(start, id, describer.Answered)
		}
		p.SetServers(start, []describer.BackendServer{{ID: "b0", State: describer.Live}})
		_, ok := p.Pick(picker.Preferences{Avoid: "b0"})
		require.True(t, ok, "the only server is used although it is to be avoided")
	}
}

// BenchmarkPick guards against a pick whose cost grows with the number of servers.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{48, 528, 11_000} {
		for _, rule := range []picker.Rule{picker.LeastLoaded, picker.TwoChoices} {
			b.Run(fmt.Sprintf("%d/rule%d", servers, rule), func(b *testing.B) {
				p := newPicker(servers, 8, picker.WithRule(rule))
				for range servers * 6 {
					p.Pick(picker.Preferences{})
				}
				for b.Loop() {
					id, _ := p.Pick(picker.Preferences{MayProbe: true})
					p.Release(start, id, describer.Answered)
				}
			})
		}
	}
}
