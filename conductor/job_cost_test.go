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
				w.owner().stateMachine.Handle(w.now, conductor.JobArrived{Job: job})
				waiting = append(waiting, job.ID)
			}
			began := time.Now()
			for _, id := range waiting {
				w.owner().stateMachine.Handle(w.now, conductor.JobCancelled{Job: id})
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	require.Less(t, cost(otherRuns), tolerance*cost(1))
}

// TestRecordsOfLargeJobAreWrittenAtBoundedRate guards against an owner whose processor and link are taken by the record of one job
// with many tasks, which is encoded and sent whole for each group of ends. The rate is four fifths of a link of 20 Mbit/s.
func TestRecordsOfLargeJobAreWrittenAtBoundedRate(t *testing.T) {
	const rate, steps, longest = 2 << 20, 330, time.Second
	w := newSimulation(t, 1, 48)
	written, largest := 0, 0
	w.onCommit = func(c conductor.Commit) {
		for _, change := range c.Changes {
			written += len(change.Value)
			largest = max(largest, len(change.Value))
		}
	}
	large := newJob(0, jobOptions{Tasks: 3, MilliCores: 2000, MemoryMB: 1, Priority: 1})
	for i := range steps {
		step := large.Steps[0]
		step.Estimate = 15 * time.Millisecond * time.Duration(1+i)
		large.Steps = append(large.Steps, step)
	}
	w.submit(large)
	const traffic = steps * 15 * time.Millisecond
	for n := range 20 {
		small := newJob(1+n, jobOptions{Tasks: 1, MilliCores: 2000, MemoryMB: 1, Seconds: 0.3})
		at := time.Duration(n) * traffic / 20
		w.at(w.start.Add(at), func() { w.submit(small) })
		w.at(w.start.Add(at+longest), func() {
			require.Equal(t, specifier.Completed, w.state(small.ID), "job %d", n)
		})
	}
	w.runUntil(traffic + time.Second)
	require.Equal(t, specifier.Completed, w.state(large.ID))
	require.Greater(t, largest, 64_000)
	require.LessOrEqual(t, written, int(rate*traffic.Seconds())+2*largest)
	require.Empty(t, w.violations)
}

// TestWaitingTasksAreNotComparedWithFullServers guards against an owner that is busy with one job of many tasks, because each task
// that does not fit is compared with all servers.
func TestWaitingTasksAreNotComparedWithFullServers(t *testing.T) {
	const servers, tolerance = 400, 20
	cost := func(tasks int) time.Duration {
		least := time.Hour
		for range 3 {
			w := newSimulation(t, 1, servers)
			w.runUntil(time.Second)
			w.owner().stateMachine.Handle(w.now, conductor.JobArrived{Job: newJob(0, jobOptions{Tasks: tasks, MilliCores: 64000})})
			began := time.Now()
			commands := w.owner().stateMachine.Plan(w.now)
			least = min(least, time.Since(began))
			require.Len(t, commandsOf[conductor.Commit](commands), 1)
		}
		return least
	}
	require.Less(t, cost(50*servers), tolerance*cost(servers))
}
