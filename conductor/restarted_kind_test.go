package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// restartedKindCase is a test case of testdata/kinds.hujson.
type restartedKindCase struct {
	Name   string
	Guards string
	// Job describes the jobs that are submitted all the time. They require the label that the servers have at first.
	Job jobOptions
	// SlowCommits is by how many seconds commits are slower than usual, and Down for how many seconds servers are down.
	SlowCommits float64
	Down        float64
	// Listed is set when the owner reads the entry of a restarted server at once, before it receives a response.
	Listed bool
	// Kind is what the servers are after their restart.
	Kind fakeKind
}

// TestRestartedServerOfAnotherKindGetsOnlyRunsThatItMayTake guards against the failure that the Guards field of each case names:
// starts on servers that have restarted under their IDs as another kind, and servers that get no more runs.
func TestRestartedServerOfAnotherKindGetsOnlyRunsThatItMayTake(t *testing.T) {
	for _, c := range tester.ReadCases[restartedKindCase](t, "kinds.hujson") {
		t.Run(c.Name, func(t *testing.T) {
			w := newSimulation(t, 1, 8)
			w.breaksConnections, w.slowCommits = true, seconds(c.SlowCommits)
			for _, s := range w.servers {
				s.server.Labels = []string{"a"}
			}
			for i := range 200 {
				job := newJob(i, c.Job)
				w.at(w.start.Add(seconds(1)+time.Duration(i)*seconds(0.05)), func() { w.submit(job) })
			}
			for i := range 3 {
				s := w.servers[specifier.ServerID(fmt.Sprintf("i-%02d", i))]
				w.at(w.start.Add(seconds(3.001+2.1*float64(i))), func() {
					s.restartsAs = &c.Kind
					s.crash(w, seconds(c.Down))
					if c.Listed {
						w.after(seconds(c.Down)+time.Millisecond, func() { w.list(w.owner()) })
					}
				})
			}
			after := newJob(200, jobOptions{Tasks: 3, MilliCores: c.Kind.Capacity.MilliCores * 3 / 4, Seconds: 1, Label: c.Kind.Labels[0]})
			w.at(w.start.Add(seconds(20)), func() { w.submit(after) })
			w.runUntil(seconds(60))
			require.Empty(t, w.violations, c.Guards)
			for _, job := range w.submitted {
				require.Equal(t, specifier.Completed, w.state(job.ID), "job %s: %s", job.ID, c.Guards)
			}
		})
	}
}
