package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestWorkGrowsLinearlyWithJob guards against a job that occupies the owner for so long that nothing else starts and leases lapse,
// because the work for it grows with a power of its steps, tasks or due occurrences. Allocations stand for the work.
func TestWorkGrowsLinearlyWithJob(t *testing.T) {
	const small, large, tolerance = 100, 400, 2
	for name, jobOf := range map[string]func(n int) specifier.Job{
		"steps": func(n int) specifier.Job {
			job := smallJob(time.Unix(1_700_000_000, 0))
			for range n - 1 {
				job.Steps = append(job.Steps, job.Steps[0])
			}
			return job
		},
		"chain of steps": func(n int) specifier.Job {
			job := smallJob(time.Unix(1_700_000_000, 0))
			for i := range n - 1 {
				step := job.Steps[0]
				step.After = []int{i}
				job.Steps = append(job.Steps, step)
			}
			return job
		},
		"tasks": func(n int) specifier.Job {
			job := smallJob(time.Unix(1_700_000_000, 0))
			job.Steps[0].Count = n
			return job
		},
		"occurrences": func(n int) specifier.Job {
			job := smallJob(time.Unix(1_700_000_000, 0))
			job.Occurrences, job.First, job.Interval = n, job.AcceptedAt.Add(-time.Hour), time.Second
			return job
		},
	} {
		t.Run(name, func(t *testing.T) {
			work := func(n int) float64 {
				job := jobOf(n)
				for i := range job.Steps {
					job.Steps[i].Need = specifier.Resources{MilliCores: 10}
				}
				return testing.AllocsPerRun(1, func() {
					o := newShardOwner()
					o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
					o.planFor(100 * time.Millisecond)
					o.Handle(o.now, conductor.JobArrived{Job: job})
					o.planFor(100 * time.Millisecond)
				})
			}
			require.Less(t, work(large), tolerance*float64(large/small)*work(small))
		})
	}
}
