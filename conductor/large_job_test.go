package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestLargeJobCompletes guards against a job with so many tasks that its record does not fit a value of the store, so that its
// write, and those of other jobs, are never confirmed; also when the owner is lost meanwhile.
func TestLargeJobCompletes(t *testing.T) {
	w := newSimulation(t, 1, 24)
	jobs := []specifier.Job{newJob(0, jobOptions{Tasks: 16_000, MilliCores: 50, MemoryMB: 32, Seconds: 1})}
	for i := range 10 {
		jobs = append(jobs, newJob(1+i, jobOptions{Tasks: 1, MilliCores: 1000, Seconds: 1}))
	}
	for i, job := range jobs {
		w.at(w.start.Add(seconds(1+0.1*float64(i))), func() { w.submit(job) })
	}
	w.schedule(scriptEvent{At: 1.5, Kind: "LoseOwner"})
	w.runUntil(seconds(30))
	require.Empty(t, w.violations)
	for _, job := range jobs {
		require.Equal(t, specifier.Completed, w.state(job.ID), "job %s", job.ID)
	}
}
