package conductor_test

import (
	"fmt"
	"testing"
)

const (
	randomSeeds = 100
	randomJobs  = 40
)

// TestRandomFaults guards against violated rules and unfinished jobs when several faults overlap or recur.
// The seed of each case is its number.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 4)
			w.endsPerReport = 1 + int(seed%3)*8
			w.addRandomJobs()
			w.addRandomFaults()
			w.runUntil(seconds(120))
			w.requireNoViolations()
			w.requireEnded()
			w.requireNoneFailed()
		})
	}
}

func (w *simulation) addRandomJobs() {
	for i := range randomJobs {
		job := newJob(i, jobOptions{
			Tasks: 1 + w.random.IntN(5), MilliCores: int64(2000 + w.random.IntN(28000)), Seconds: 0.3 + 3*w.random.Float64(),
			Steps: 1 + w.random.IntN(2), Gang: w.random.IntN(3) == 0, Advice: w.random.IntN(2) == 0,
			Priority: w.random.IntN(3), Attempts: 2,
		})
		w.at(w.start.Add(seconds(1+20*w.random.Float64())), func() { w.submit(job) })
		if w.random.IntN(8) == 0 {
			w.at(w.start.Add(seconds(2+22*w.random.Float64())), func() { w.cancelJob(job.ID) })
		}
	}
}

func (w *simulation) addRandomFaults() {
	kinds := []string{"Silent", "Crash", "LoseAnswers", "DelayStarts", "StoreDown", "LoseOwner", "Silent", "LoseOwner", "CrashOwner"}
	for range 8 {
		w.schedule(scriptEvent{
			At: 2 + 22*w.random.Float64(), Kind: kinds[w.random.IntN(len(kinds))],
			Server: fmt.Sprintf("i-%02d", w.random.IntN(4)), For: 0.2 + 8*w.random.Float64(),
		})
	}
}
