package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestSuspectsLeaveMostServersToOthers guards against a cell in which most servers get no runs, because each of them is kept for a task
// under which servers were lost several times, while accepted jobs wait.
func TestSuspectsLeaveMostServersToOthers(t *testing.T) {
	const servers, tasks = 16, 160
	w := newSimulation(t, 1, servers)
	for i := range tasks {
		job := newJob(i, jobOptions{Tasks: 1, MilliCores: 4000, Seconds: 30, Attempts: 2})
		w.at(w.start.Add(seconds(1)), func() { w.submit(job) })
	}
	outages := []float64{5, 10, 15}
	for _, at := range outages {
		w.at(w.start.Add(seconds(at)), func() {
			for _, s := range w.servers {
				s.crash(w, seconds(0.6))
			}
		})
	}
	w.runUntil(seconds(15.6 + 3))
	running := 0
	for _, s := range w.servers {
		running += len(s.runs)
	}
	require.Greater(t, running, tasks/2, "runs 3 s after the servers are back")
	w.runUntil(seconds(120))
	require.Empty(t, w.violations)
	for _, job := range w.submitted {
		require.Equal(t, specifier.Completed, w.state(job.ID))
	}
}
