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
