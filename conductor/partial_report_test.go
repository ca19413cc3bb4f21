package conductor_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestPartialReportsOfEnds guards against runs that start again because their ends are not among the first ones that a server
// lists, while the store confirms no ends: under the same owner, and under a new one that restores the runs.
func TestPartialReportsOfEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		newJob  jobOptions
		faults  []scriptEvent
		longest float64
	}{
		{"same owner", jobOptions{Tasks: 60, MilliCores: 1000, Seconds: 1}, []scriptEvent{{At: 1.5, Kind: "StoreDown", For: 4.5}}, 40},
		{
			"new owner",
			jobOptions{Tasks: 60, MilliCores: 1000, Seconds: 1},
			[]scriptEvent{{At: 1.5, Kind: "StoreDown", For: 3}, {At: 2, Kind: "LoseOwner"}},
			40,
		},
		{
			"acknowledged one after the other",
			jobOptions{Tasks: 60, MilliCores: 1000, Seconds: 1},
			[]scriptEvent{{At: 1.5, Kind: "StoreDown", For: 2}, {At: 1.6, Kind: "LoseAnswers", Server: "i-00", For: 1}},
			60,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, 1)
			w.endsPerReport = 5
			job := newJob(0, c.newJob)
			w.at(w.start.Add(seconds(1)), func() { w.submit(job) })
			for _, fault := range c.faults {
				w.schedule(fault)
			}
			w.runUntil(seconds(c.longest))
			require.Empty(t, w.violations)
			require.Equal(t, specifier.Completed, w.state(job.ID))
			require.Equal(t, 60, w.starts, "each task starts once")
			require.NotContains(t, strings.Join(w.decisions, "\n"), "RunVanished")
		})
	}
}
