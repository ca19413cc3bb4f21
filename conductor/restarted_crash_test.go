package conductor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// TestRunOfRestartedServerCrashedNothing guards against a job that is given up after one crash, because its first run was started by a
// server that had restarted before, and that was cut off later.
func TestRunOfRestartedServerCrashedNothing(t *testing.T) {
	w := newSimulation(t, 1, 5)
	for _, id := range []specifier.ServerID{"i-02", "i-03", "i-04"} {
		w.servers[id].server.Capacity.MilliCores = 1000
	}
	w.servers["i-01"].silentUntil = w.start.Add(seconds(3))
	job := newJob(0, jobOptions{MilliCores: 4000, Seconds: 12, Attempts: 2})
	task := specifier.StepID{Job: job.ID}.Task(0)
	w.schedule(scriptEvent{At: 2, Kind: "Crash", Server: "i-00", For: 0.02})
	w.at(w.start.Add(seconds(2.03)), func() { w.submit(job) })
	w.schedule(scriptEvent{At: 4, Kind: "Silent", Server: "i-00", For: 15})
	w.runUntil(seconds(3.5))
	restored, err := lifecycler.Restore(job, w.record(job.ID))
	require.NoError(t, err)
	step, ok := restored.Step(task.StepID)
	require.True(t, ok)
	require.Equal(t, w.servers["i-00"].server.Incarnation, step.Tasks[0].Incarnation, "a successor reads the incarnation that has the run")
	crashed := false
	w.every(50*time.Millisecond, func() {
		if runs := w.runsOf[task]; len(runs) == 2 && !crashed {
			crashed = true
			runs[1].server.crash(w, crashTime)
		}
	})
	w.runUntil(60 * time.Second)
	require.Empty(t, w.violations)
	require.Contains(t, strings.Join(w.decisions, "\n"), "1 runs in doubt", "the case has to start a run across a restart")
	require.True(t, crashed)
	require.Equal(t, stateNames[specifier.Completed], stateNames[w.state(job.ID)])
}
