package conductor_test

import (
	"fmt"
	"testing"
)

const (
	quotaSeeds = 100
	quotaJobs  = 60
	// quotaServers is the number of servers in the random days; each has 64 cores.
	quotaServers = 4
)

// TestRandomFaultsKeepQuotas guards against starts above a limit and against jobs that never run, while limits change, jobs are
// cancelled, starts are late, servers restart and owners are replaced. The seed of each case is its number.
func TestRandomFaultsKeepQuotas(t *testing.T) {
	for seed := range uint64(quotaSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, quotaServers)
			w.delaysCallsOverRestarts = seed%3 == 1
			w.configure(map[string]int64{"a": 60, "b": 90})
			w.addTeamJobs()
			w.addRandomFaults()
			w.addLimitChanges()
			w.runUntil(seconds(150))
			w.requireNoViolations()
			w.requireEnded()
			w.requireNoneFailed()
		})
	}
}

// addTeamJobs adds jobs of two teams that want more than their limits, and of none.
func (w *simulation) addTeamJobs() {
	teams := []string{"a", "a", "b", ""}
	for i := range quotaJobs {
		job := newJob(i, jobOptions{
			Team: teams[w.random.IntN(len(teams))], Tasks: 1 + w.random.IntN(5), MilliCores: int64(2000 + w.random.IntN(10000)),
			Seconds: 0.3 + 3*w.random.Float64(), Steps: 1 + w.random.IntN(2), Gang: w.random.IntN(3) == 0, Advice: w.random.IntN(2) == 0,
			Priority: w.random.IntN(3), Attempts: 2,
		})
		w.at(w.start.Add(seconds(1+20*w.random.Float64())), func() { w.submit(job) })
		if w.random.IntN(6) == 0 {
			w.at(w.start.Add(seconds(2+22*w.random.Float64())), func() { w.cancelJob(job.ID) })
		}
	}
}

// addLimitChanges lowers and raises limits while jobs arrive. At the end they permit every job.
func (w *simulation) addLimitChanges() {
	for range 5 {
		w.at(w.start.Add(seconds(2+25*w.random.Float64())), func() {
			w.configure(map[string]int64{"a": int64(5 + w.random.IntN(80)), "b": int64(5 + w.random.IntN(80))})
		})
	}
	w.at(w.start.Add(seconds(40)), func() { w.configure(map[string]int64{"a": 60, "b": 70}) })
}
