package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestTaskWaitsForOrphanFoundBeforeJob guards against a task that starts beside an orphan run which a server reported before the owner knew
// the job.
func TestTaskWaitsForOrphanFoundBeforeJob(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 2, "a")
	s, other, found := c.sessions["i-0000"], c.sessions["i-0001"], specifier.StepID{Job: "j"}.Task(0)
	c.stopOrphan(now, s, specifier.RunningTask{Task: found, Run: 1})
	step := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 100}, Estimate: time.Second}
	c.Handle(now, JobArrived{Job: specifier.Job{
		ID: "j", Queue: specifier.Queue{Service: "a"}, AcceptedAt: now, Steps: []specifier.Step{step},
	}})
	plan := func() {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			c.Plan(now)
		}
	}
	plan()
	require.Empty(t, other.allocations)
	c.runEnded(now, s, specifier.EndedTask{Number: 1, Task: found, Run: 1, Reason: specifier.RunStopped})
	plan()
	require.Equal(t, 1, len(s.allocations)+len(other.allocations))
}

// TestNoStartBesideOrphanFoundBeforeCommit guards against the start of a task of which an orphan was found between the placement and the
// commit of its record.
func TestNoStartBesideOrphanFoundBeforeCommit(t *testing.T) {
	for _, gang := range []bool{false, true} {
		now := time.Unix(1000, 0)
		c := newPassConductor(now, 2, "a")
		step := specifier.Step{Count: 2, Need: specifier.Resources{MilliCores: 100}, Estimate: time.Second, Gang: gang, MaxPerServer: 1}
		c.Handle(now, JobArrived{Job: specifier.Job{
			ID: "j", Queue: specifier.Queue{Service: "a"}, AcceptedAt: now, Steps: []specifier.Step{step},
		}})
		commands := c.Plan(now)
		require.Len(t, c.jobs["j"].reserved, 2)
		reserved := c.jobs["j"].reserved[0]
		other := c.session("i-0009")
		c.stopOrphan(now, other, specifier.RunningTask{Task: reserved.task, Run: 9})
		for _, command := range commands {
			if commit, ok := command.(Commit); ok {
				c.Handle(now, CommitEnded{Lane: commit.Lane})
			}
		}
		var started []specifier.TaskID
		for _, command := range c.Plan(now) {
			if start, ok := command.(Start); ok {
				started = append(started, start.Order.Task)
			}
		}
		require.NotContains(t, started, reserved.task)
	}
}
