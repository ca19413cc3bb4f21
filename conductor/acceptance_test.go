package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// TestJobFromClockAheadStarts guards against a job that never starts because the clock of the instance that accepted it is ahead
// of the owner's.
func TestJobFromClockAheadStarts(t *testing.T) {
	for _, ahead := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 2400 * time.Millisecond, time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			o := newShardOwner()
			o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
			o.planFor(200 * time.Millisecond)
			o.Handle(o.now, conductor.JobArrived{Job: smallJob(o.now.Add(ahead))})
			require.True(t, o.placesRun(200*time.Millisecond))
		})
	}
}

// TestRestoredJobFromClockAheadStarts guards against the same at an owner that restores the job from the store.
func TestRestoredJobFromClockAheadStarts(t *testing.T) {
	o := newShardOwner()
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
	o.planFor(200 * time.Millisecond)
	o.Restore(o.now, lifecycler.New(smallJob(o.now.Add(time.Hour))))
	require.True(t, o.placesRun(200*time.Millisecond))
}

// TestFinalStateIsRetainedByNewOwner guards against the record of a job that is deleted too early because the clock of the owner
// that finished the job was behind, or that of its successor is ahead.
func TestFinalStateIsRetainedByNewOwner(t *testing.T) {
	const retention = 3 * time.Minute
	o := newShardOwner()
	restored, err := lifecycler.Restore(smallJob(o.now), lifecycler.Record{State: specifier.Completed, FinalAt: o.now.Add(-time.Hour)})
	require.NoError(t, err)
	o.Restore(o.now, restored)
	require.Empty(t, commandsOf[conductor.DeleteJobs](o.planFor(retention-time.Second)))
	require.NotEmpty(t, commandsOf[conductor.DeleteJobs](o.planFor(5*time.Second)))
}

// TestJobFromClockBehindKeepsItsTurn guards against a job that counts as late, and waits for those of all other instances,
// because the clock of the instance that accepted it is behind the owner's.
func TestJobFromClockBehindKeepsItsTurn(t *testing.T) {
	for _, behind := range []time.Duration{2400 * time.Millisecond, time.Hour} {
		t.Run(behind.String(), func(t *testing.T) {
			o := newShardOwner()
			o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
			o.planFor(200 * time.Millisecond)
			for i := range 3 {
				job := smallJob(o.now)
				job.ID = specifier.JobID(fmt.Sprintf("%016x", i))
				job.Steps[0].Need = specifier.Resources{MilliCores: 64000}
				if i == 1 {
					job.AcceptedAt = o.now.Add(-behind)
				}
				o.Handle(o.now, conductor.JobArrived{Job: job, StoredAfter: o.now.Add(-5 * time.Millisecond)})
			}
			var first specifier.JobID
			for _, decision := range commandsOf[conductor.Decision](o.planFor(200 * time.Millisecond)) {
				if decision.Name == "RunPlaced" && first == "" {
					first = decision.Task.Job
				}
			}
			require.EqualValues(t, fmt.Sprintf("%016x", 1), first, "the job was accepted some milliseconds before the others")
		})
	}
}
