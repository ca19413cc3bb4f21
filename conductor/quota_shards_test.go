package conductor_test

import (
	"fmt"
	"testing"
)

// TestRandomFaultsOfShardsKeepQuotas guards against runs of a team that are not counted because their server has moved to another shard,
// while servers restart and are cut off, limits change, jobs are cancelled and owners are lost. Each shard has the jobs of one team. The
// seed of each case is its number.
func TestRandomFaultsOfShardsKeepQuotas(t *testing.T) {
	const seeds, shards, servers, jobs = 60, 3, 9, 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newShardedSimulation(t, seed, shards, servers)
			limits := func(least, spread int) map[string]int64 {
				cores := make(map[string]int64)
				for i := range shards {
					cores[fmt.Sprint("team", i)] = int64(least + w.random.IntN(spread))
				}
				return cores
			}
			w.delaysCallsOverRestarts = seed%2 == 1
			w.configure(limits(200, 200))
			for n := range jobs {
				number := shards * n
				if w.random.IntN(4) == 0 {
					number += 1 + w.random.IntN(shards-1)
				}
				job := newJob(number, jobOptions{
					Team: fmt.Sprint("team", number%shards), Tasks: 1 + w.random.IntN(6), MilliCores: int64(4000 + w.random.IntN(28000)),
					Seconds: 0.3 + 3*w.random.Float64(), Gang: w.random.IntN(2) == 0, Advice: w.random.IntN(2) == 0, Priority: w.random.IntN(3), Attempts: 2,
				})
				w.at(w.start.Add(seconds(1+15*w.random.Float64())), func() { w.submit(job) })
				if w.random.IntN(6) == 0 {
					w.at(w.start.Add(seconds(2+18*w.random.Float64())), func() { w.cancelJob(job.ID) })
				}
			}
			for range 4 {
				o := w.owners[w.random.IntN(shards)]
				w.at(w.start.Add(seconds(2+25*w.random.Float64())), func() { w.loseOwnerOf(o) })
				w.at(w.start.Add(seconds(2+20*w.random.Float64())), func() { w.configure(limits(20, 300)) })
				w.schedule(scriptEvent{
					At: 2 + 20*w.random.Float64(), Kind: []string{"Silent", "Crash", "DelayStarts", "LoseAnswers"}[w.random.IntN(4)],
					Server: fmt.Sprintf("i-%02d", w.random.IntN(servers)), For: 0.2 + 8*w.random.Float64(),
				})
			}
			w.at(w.start.Add(seconds(40)), func() { w.configure(limits(200, 1)) })
			w.runUntil(seconds(150))
			w.requireNoViolations()
			w.requireEnded()
			w.requireNoneFailed()
		})
	}
}
