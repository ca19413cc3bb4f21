package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestUnusedAdviceIsCounted guards against advisors that are occupied by calls without any start, which no figure shows.
func TestUnusedAdviceIsCounted(t *testing.T) {
	const callTime, ticketLife = 100 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name    string
		tasks   int
		granted int
		failed  bool
		want    conductor.AdviceLoad
	}{
		{"started", 1, 1, false, conductor.AdviceLoad{AdviceCalls: 1, AdviceTime: callTime, AdviceUsed: 1}},
		{"tickets expired", 2, 1, false, conductor.AdviceLoad{AdviceCalls: 1, AdviceTime: callTime, AdviceUnused: 1, AdviceUnusedTime: callTime}},
		{"no server admitted", 1, 0, false, conductor.AdviceLoad{AdviceCalls: 1, AdviceTime: callTime, AdviceUnused: 1, AdviceUnusedTime: callTime}},
		{"call failed", 1, 0, true, conductor.AdviceLoad{AdviceCalls: 1, AdviceTime: callTime, AdviceFailed: 1, AdviceUnused: 1, AdviceUnusedTime: callTime}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newShardOwner()
			server := serverAt("1")
			for range 2 {
				o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{server}})
				o.planFor(100 * time.Millisecond)
			}
			o.Handle(o.now, conductor.AdvisorsChanged{Advisors: []string{"a"}})
			o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
				ID: "0000000000000001", AcceptedAt: o.now,
				Queue: specifier.Queue{Name: "q", Service: "s", Stretch: 2, Advice: specifier.AdviceCost{Needed: true}},
				Steps: []specifier.Step{{
					Count: c.tasks, Gang: true, Need: specifier.Resources{MilliCores: 60000}, Estimate: time.Second,
				}},
			}})
			advise := commandsOf[conductor.Advise](o.planFor(callTime))
			require.NotEmpty(t, advise)
			o.TakeLoad(o.now)
			e := conductor.Advised{
				Step: advise[0].Step, Advisor: "a", Servers: advise[0].Servers, Incarnations: advise[0].Incarnations, SentAt: o.now.Add(-callTime),
				ValidUntil: o.now.Add(ticketLife), Failed: c.failed,
			}
			if c.granted > 0 {
				e.Grants = []specifier.Grant{{Server: server.ID, Ticket: "t"}}
			}
			o.Handle(o.now, e)
			o.planFor(ticketLife + 100*time.Millisecond)
			require.Equal(t, c.want, o.TakeLoad(o.now).AdviceLoad)
		})
	}
}
