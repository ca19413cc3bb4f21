package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestEndOfJobDoesNotVisitRunsOfOthers guards against an owner that is busy with the ends of small jobs, because each of them is
// compared with all runs of the shard.
func TestEndOfJobDoesNotVisitRunsOfOthers(t *testing.T) {
	const servers, otherRuns, jobs, tolerance = 48, 20_000, 50, 10
	cost := func(otherRuns int) time.Duration {
		w := newSimulation(t, 1, servers)
		w.submit(newJob(0, jobOptions{Tasks: otherRuns, MilliCores: 100, MemoryMB: 1, Seconds: 600}))
		w.runUntil(10 * time.Second)
		require.Len(t, w.runs, otherRuns)
		least := time.Hour
		for round := range 5 {
			var waiting []specifier.JobID
			for n := range jobs {
				job := newJob(1+round*jobs+n, jobOptions{Tasks: 1, MilliCores: 65000})
				w.stateMachine.Handle(w.now, conductor.JobArrived{Job: job})
				waiting = append(waiting, job.ID)
			}
			began := time.Now()
			for _, id := range waiting {
				w.stateMachine.Handle(w.now, conductor.JobCancelled{Job: id})
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	require.Less(t, cost(otherRuns), tolerance*cost(1))
}
