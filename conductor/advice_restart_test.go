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
	w := newSimulation(t, 6, 4)
	w.refusedUntilRestart = true
	job := newJob(0, jobOptions{Tasks: 2, MilliCores: 2000, Seconds: 1, Advice: true})
	w.at(w.start.Add(time.Second), func() { w.submit(job) })
	w.schedule(scriptEvent{At: 3, Kind: "Crash", Server: "i-00", For: 1})
	w.runUntil(10 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(job.ID))
}
