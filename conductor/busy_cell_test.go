package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// newBusyCell returns a simulation in which all servers but i-03 are full from 1 to 15 s.
func newBusyCell(t *testing.T) *simulation {
	w := newSimulation(t, 1, 4)
	for i := range 3 {
		filler := newJob(10+i, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 14})
		w.at(w.start.Add(seconds(1)), func() { w.submit(filler) })
	}
	return w
}

// requireOneRun checks the rules, and that a job has completed.
func (w *simulation) requireOneRun(job specifier.Job) {
	w.t.Helper()
	w.requireNoViolations()
	require.Equal(w.t, specifier.Completed, w.state(job.ID))
}
