package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestRestartedServerIsAdvisedAgain guards against a job that never runs, because the owner keeps the refusals of servers
// that have restarted as servers that may run it.
func TestRestartedServerIsAdvisedAgain(t *testing.T) {
	cases := []struct {
		name            string
		crashAt, downIn float64
		advice          specifier.AdviceCost
	}{
		{name: "after the refusal", crashAt: 3, downIn: 1},
		{name: "during the call", crashAt: 1.1, downIn: 0.05, advice: specifier.AdviceCost{Fixed: time.Second, PerServer: time.Millisecond}},
		{name: "after the server was forgotten", crashAt: 3, downIn: 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 6, 4)
			w.refusedUntilRestart, w.breaksConnections = true, true
			job := newJob(0, jobOptions{Tasks: 2, MilliCores: 2000, Seconds: 1, Advice: true, AdviceCost: c.advice})
			w.at(w.start.Add(time.Second), func() { w.submit(job) })
			w.schedule(scriptEvent{At: c.crashAt, Kind: "Crash", Server: "i-00", For: c.downIn})
			w.runUntil(seconds(c.crashAt + c.downIn + 7))
			require.Empty(t, w.violations)
			require.Equal(t, specifier.Completed, w.state(job.ID))
			require.Zero(t, w.voidTickets, "a ticket is used for another incarnation")
		})
	}
}
