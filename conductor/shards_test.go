package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// newShardedSimulation returns a simulation with several shards. The jobs with odd numbers belong to the second shard.
func newShardedSimulation(t *testing.T, seed uint64, shards, servers int) *simulation {
	w := newSimulation(t, seed, servers)
	w.owners = nil
	for i := range shards {
		w.owners = append(w.owners, &simulatedOwner{shard: i})
	}
	w.shardOf = func(id specifier.JobID) int {
		var number int
		if _, err := fmt.Sscanf(string(id), "job%d", &number); err != nil {
			w.t.Fatalf("job %s has no number: %v", id, err)
		}
		return number % shards
	}
	for _, o := range w.owners {
		w.electOwner(o)
	}
	return w
}

// TestIdleServersOfShardInUseAreLent guards against a backlog that one shard works off until the end of the day while another one
// has less to do, but more than nothing, and keeps its idle servers. Two fifths of the second shard's servers are in use for good. The
// bound is the work of the backlog on the servers that remain, and three seconds for the loan.
func TestIdleServersOfShardInUseAreLent(t *testing.T) {
	const servers, inUse, gangs, tasks, seconds = 80, 16, 18, 20, 4
	w := newShardedSimulation(t, 1, 2, servers)
	w.at(w.start.Add(time.Second), func() {
		w.submit(newJob(1, jobOptions{Tasks: inUse, MilliCores: 60000, Seconds: 600}))
	})
	var backlog []specifier.Job
	for n := range gangs {
		gang := newJob(2+2*n, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: seconds, Gang: true, Priority: 1})
		backlog = append(backlog, gang)
		w.at(w.start.Add(2*time.Second), func() { w.submit(gang) })
	}
	const atOnce = (servers - inUse) / tasks
	w.runUntil(2*time.Second + gangs/atOnce*(seconds*time.Second+250*time.Millisecond) + 3*time.Second)
	require.Empty(t, w.violations)
	for _, gang := range backlog {
		require.Equal(t, specifier.Completed, w.state(gang.ID), "job %s", gang.ID)
	}
}

// TestStepBorrowsWhenItsServersAreHeld guards against a gang that neither starts nor borrows, because it would fit its shard but for
// the servers that are held for another step. The first shard has ten free servers, all held for a wide gang until 21 s, and the second
// one is idle. The bound is three seconds until the gang borrows and three for the loan.
func TestStepBorrowsWhenItsServersAreHeld(t *testing.T) {
	const servers, inUse = 80, 30
	w := newShardedSimulation(t, 1, 2, servers)
	w.at(w.start.Add(time.Second), func() {
		w.submit(newJob(0, jobOptions{Tasks: inUse, MilliCores: 60000, Seconds: 20}))
	})
	w.at(w.start.Add(2*time.Second), func() {
		wide := newJob(2, jobOptions{Tasks: 20, MilliCores: 60000, Seconds: 20, Gang: true, Priority: 1})
		wide.Queue.Stretch, wide.Steps[0].LongRunning = 10, true
		w.submit(wide)
	})
	gang := newJob(4, jobOptions{Tasks: 8, MilliCores: 60000, Seconds: 25, Gang: true, Priority: 1})
	gang.Queue.Stretch = 30
	w.at(w.start.Add(3*time.Second), func() { w.submit(gang) })
	w.runUntil(9 * time.Second)
	require.Empty(t, w.violations)
	require.NotEmpty(t, w.runsOf[specifier.StepID{Job: gang.ID}.Task(0)])
}

// TestShardKeepsServersForItsOwnJobs guards against a shard that lends so many idle servers that its own jobs wait. Half of its servers
// are in use for good, and a job comes that needs an eighth of them.
func TestShardKeepsServersForItsOwnJobs(t *testing.T) {
	const servers = 80
	w := newShardedSimulation(t, 1, 2, servers)
	w.at(w.start.Add(time.Second), func() {
		w.submit(newJob(1, jobOptions{Tasks: 20, MilliCores: 60000, Seconds: 600}))
	})
	for n := range 30 {
		gang := newJob(2+2*n, jobOptions{Tasks: 20, MilliCores: 60000, Seconds: 4, Gang: true, Priority: 1})
		w.at(w.start.Add(2*time.Second), func() { w.submit(gang) })
	}
	w.runUntil(10 * time.Second)
	own := newJob(3, jobOptions{Tasks: 5, MilliCores: 60000, Seconds: 0.5})
	w.submit(own)
	w.runUntil(11 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(own.ID))
}

// TestRandomFaultsOfShards guards against violated rules and unfinished jobs when shards lend servers to each other while their
// owners are lost. The seed of each case is its number.
func TestRandomFaultsOfShards(t *testing.T) {
	const seeds, shards, servers, jobs = 30, 3, 18, 90
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newShardedSimulation(t, seed, shards, servers)
			for n := range jobs {
				// Most jobs belong to the first shard.
				number := shards * n
				if w.random.IntN(6) == 0 {
					number += 1 + w.random.IntN(shards-1)
				}
				job := newJob(number, jobOptions{
					Tasks: 1 + w.random.IntN(9), MilliCores: int64(8000 + w.random.IntN(50000)), Seconds: 0.3 + 2*w.random.Float64(),
					Gang: w.random.IntN(2) == 0, Advice: w.random.IntN(2) == 0, Priority: w.random.IntN(3), Attempts: 2,
				})
				w.at(w.start.Add(seconds(1+15*w.random.Float64())), func() { w.submit(job) })
			}
			for range 4 {
				o := w.owners[w.random.IntN(shards)]
				w.at(w.start.Add(seconds(2+25*w.random.Float64())), func() { w.loseOwnerOf(o) })
			}
			down := w.start.Add(seconds(5 + 15*w.random.Float64()))
			w.at(down, func() { w.storeDownUntil = w.now.Add(seconds(3 * w.random.Float64())) })
			w.runUntil(seconds(120))
			w.requireNoViolations()
			for _, job := range w.submitted {
				require.Equal(t, specifier.Completed, w.state(job.ID), "job %s", job.ID)
			}
		})
	}
}
