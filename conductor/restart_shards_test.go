package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestRandomRestartsOfLentServers guards against violated rules and unfinished jobs when servers restart under their IDs, carry out
// calls of former holders, and are cut off, while shards lend them to each other and owners change. The seed of each case is its number.
func TestRandomRestartsOfLentServers(t *testing.T) {
	const seeds, shards, servers, jobs = 24, 3, 12, 70
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newShardedSimulation(t, seed, shards, servers)
			w.delaysCallsOverRestarts, w.carryOverSpread, w.breaksConnections = true, time.Second, seed%2 == 0
			for n := range jobs {
				// Most jobs belong to the first shard.
				number := shards * n
				if w.random.IntN(6) == 0 {
					number += 1 + w.random.IntN(shards-1)
				}
				job := newJob(number, jobOptions{
					Tasks: 1 + w.random.IntN(7), MilliCores: int64(8000 + w.random.IntN(50000)), Seconds: []float64{0.1, 0.5, 2, 9}[w.random.IntN(4)],
					Gang: w.random.IntN(3) == 0, Advice: w.random.IntN(2) == 0, Priority: w.random.IntN(3), Attempts: 2,
				})
				w.at(w.start.Add(seconds(1+25*w.random.Float64())), func() { w.submit(job) })
			}
			for at := 3 + 4*w.random.Float64(); at < 40; at += 1 + 3*w.random.Float64() {
				w.restartLent(at, specifier.ServerID(fmt.Sprintf("i-%02d", w.random.IntN(servers))))
			}
			w.runUntil(seconds(240))
			w.requireNoViolations()
			require.NotEmpty(t, w.transfers)
			w.requireEnded()
		})
	}
}

// restartLent makes a server restart, cuts it off soon after in half of the cases, and ends an owner in a sixth of them.
func (w *simulation) restartLent(at float64, id specifier.ServerID) {
	down := 0.02 + 0.8*w.random.Float64()
	w.at(w.start.Add(seconds(at)), func() {
		if w.servers[id].downUntil.IsZero() {
			w.servers[id].crash(w, seconds(down))
		}
	})
	if w.random.IntN(2) == 0 {
		w.schedule(scriptEvent{At: at + down + 3*w.random.Float64(), Kind: "Silent", Server: string(id), For: 4 + 9*w.random.Float64()})
	}
	if w.random.IntN(6) == 0 {
		o := w.owners[w.random.IntN(len(w.owners))]
		w.at(w.start.Add(seconds(at+down+w.random.Float64())), func() {
			if o.stateMachine != nil {
				w.loseOwnerOf(o)
			}
		})
	}
}
