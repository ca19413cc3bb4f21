package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestStartDoesNotExceedShrunkCapacity guards against a start on a server whose capacity has shrunk between the placement and
// the commit of its record.
func TestStartDoesNotExceedShrunkCapacity(t *testing.T) {
	w := newSimulation(t, 1, 2)
	for i := range 6 {
		job := newJob(i, jobOptions{Tasks: 1, MilliCores: 16000, Seconds: 1})
		w.at(w.start.Add(seconds(2)), func() { w.submit(job) })
	}
	w.schedule(scriptEvent{At: 1.5, Kind: "StoreDown", For: 8})
	for _, s := range w.servers {
		w.at(w.start.Add(seconds(3)), func() { s.server.Capacity = specifier.Resources{MilliCores: 20000, MemoryMB: 131072} })
		w.at(w.start.Add(seconds(20)), func() { s.server.Capacity = specifier.Resources{MilliCores: 64000, MemoryMB: 131072} })
	}
	w.runUntil(seconds(40))
	require.Empty(t, w.violations)
	for _, job := range w.submitted {
		require.Equal(t, specifier.Completed, w.state(job.ID), "job %s", job.ID)
	}
}
