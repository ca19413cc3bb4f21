package conductor_test

import (
	"fmt"
	"slices"
	"testing"

	"egretring.example/egretring/specifier"
)

// randomRestartSeeds is the number of cases of TestRandomRestarts. The seed of each is its number.
const randomRestartSeeds = 40

// knownRestartSeeds are further seeds, with which earlier versions broke a rule.
var knownRestartSeeds = []uint64{
	90, 130, 152, 250, 368, 410, 481, 495, 513, 526, 572, 580, 604, 654, 656, 666, 675, 699, 740, 757, 774, 783, 834, 843, 866,
}

// TestRandomRestarts guards against violated rules and unfinished jobs when servers restart under their IDs, carry out calls that
// were meant for their former incarnation, and are cut off soon after, while long tasks run and owners change.
func TestRandomRestarts(t *testing.T) {
	seeds := slices.Clone(knownRestartSeeds)
	for seed := range uint64(randomRestartSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomRestarts(t, seed, false) })
	}
	for seed := range uint64(randomRestartSeeds) {
		t.Run(fmt.Sprintf("seed %d, stale list", seed), func(t *testing.T) { runRandomRestarts(t, seed, true) })
	}
}

func runRandomRestarts(t *testing.T, seed uint64, staleList bool) {
	t.Parallel()
	w := newSimulation(t, seed, 6)
	w.delaysCallsOverRestarts, w.staleList = true, staleList
	for i := range randomJobs {
		job := newJob(i, jobOptions{
			Tasks: 1 + w.random.IntN(3), MilliCores: int64(1000 + w.random.IntN(8000)), Seconds: []float64{0.2, 1, 12}[w.random.IntN(3)],
			Gang: w.random.IntN(5) == 0, Advice: w.random.IntN(3) == 0, Priority: w.random.IntN(3), Attempts: 2,
		})
		w.at(w.start.Add(seconds(1+40*w.random.Float64())), func() { w.submit(job) })
	}
	for at := 4 + 10*w.random.Float64(); at < 50; at += 4 + 6*w.random.Float64() {
		w.restartAndCut(at)
	}
	w.runUntil(seconds(200))
	w.requireNoViolations()
	w.requireEnded()
}

// restartAndCut makes some servers restart and cuts them off soon after, and ends the owner in between in half of the cases.
func (w *simulation) restartAndCut(at float64) {
	down := 0.05 + w.random.Float64()
	back := at + down
	cut := back + 3*w.random.Float64()
	for i := range 6 {
		if w.random.IntN(2) == 0 {
			continue
		}
		id := specifier.ServerID(fmt.Sprintf("i-%02d", i))
		w.at(w.start.Add(seconds(at)), func() {
			if w.servers[id].downUntil.IsZero() {
				w.servers[id].crash(w, seconds(down))
			}
		})
		w.schedule(scriptEvent{At: cut, Kind: "Silent", Server: string(id), For: 4 + 9*w.random.Float64()})
	}
	if kind := w.random.IntN(4); kind < 2 {
		w.schedule(scriptEvent{At: back + (cut-back)*w.random.Float64(), Kind: []string{"CrashOwner", "LoseOwner"}[kind]})
	}
}
