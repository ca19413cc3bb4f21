package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestWideStepBeyondRateStarts guards against a gang beyond the rate of its team that does not fit its shard and never starts, because gangs
// within rates keep coming that do not fit it either.
func TestWideStepBeyondRateStarts(t *testing.T) {
	const servers = 20
	filler := newJob(1000, jobOptions{Tasks: servers / 2, MilliCores: 100, Seconds: 600})
	step := &filler.Steps[0]
	step.Need.MemoryMB, step.MaxPerServer, step.LongRunning = 110_000, 1, true
	for _, test := range []struct {
		name  string
		other []specifier.Job
	}{
		{name: "memory in use keeps the service busy", other: []specifier.Job{filler}},
		// Servers held for the gang must not go to the others at the moment at which the service has nothing to run.
		{name: "all servers become free at once"},
	} {
		t.Run(test.name, func(t *testing.T) { testWideStepBeyondRate(t, servers, test.other) })
	}
}

func testWideStepBeyondRate(t *testing.T, servers int, other []specifier.Job) {
	const tasks = 14
	w := newShardedSimulation(t, 1, 2, servers)
	for _, o := range w.owners {
		w.deliver(o.epoch, conductor.Configured{Configuration: specifier.Configuration{
			Revision: 2, Teams: specifier.NewTeams(specifier.Team{Name: "a", Weight: 0.001}),
		}})
	}
	gang := func(number int, team string) specifier.Job {
		job := newJob(2*number, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: 1, Gang: true, Priority: 1})
		job.Team, job.Queue.TargetLatency = team, time.Hour
		return job
	}
	for _, job := range other {
		w.at(w.start.Add(500*time.Millisecond), func() { w.submit(job) })
	}
	beyond := gang(1, "a")
	w.at(w.start.Add(time.Second), func() {
		// The first job of the team is within its rate.
		w.submit(gang(0, "a"))
		w.submit(beyond)
	})
	for n := range 250 {
		w.at(w.start.Add(time.Second+time.Duration(n)*450*time.Millisecond), func() { w.submit(gang(2+n, "")) })
	}
	w.runUntil(2 * time.Minute)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(beyond.ID))
}
