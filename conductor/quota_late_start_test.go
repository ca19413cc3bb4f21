package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestLateStartCountsForItsTeam guards against a team above its limit: its server has responded under a higher fencing token than that
// of a start without a response, but restarts, forgets the token and carries out the start.
func TestLateStartCountsForItsTeam(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.configure(map[string]int64{"a": 60})
	job := newJob(1, jobOptions{Team: "a", MilliCores: 60000, Seconds: 20})
	w.at(w.start.Add(seconds(2)), func() { w.submit(job) })
	w.holdStart(job, 0.0001)
	w.at(w.start.Add(seconds(2.7)), func() {
		for _, s := range w.servers {
			s.crash(w, seconds(0.3))
		}
	})
	w.runUntil(seconds(60))
	require.True(t, w.intercepted)
	require.Empty(t, w.violations)
	require.Len(t, w.runsOf[specifier.StepID{Job: job.ID}.Task(0)], 2)
}
