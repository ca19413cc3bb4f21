package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestGangWaitsForRunFoundAgain guards against a gang that starts beside an earlier run of one of its tasks, which has been found again
// and is being stopped, and against capacity of the server that is never released because the new run has replaced the earlier one.
func TestGangWaitsForRunFoundAgain(t *testing.T) {
	for _, team := range []string{"", "t"} {
		now := time.Unix(1000, 0)
		c := newPassConductor(now, 1, "a")
		c.Handle(now, configured(1, withCores("t", 20)))
		need := specifier.Resources{MilliCores: 100}
		step := specifier.Step{Count: 2, Need: need, Estimate: time.Second, Gang: true}
		queue := specifier.Queue{Service: "a"}
		c.Handle(now, JobArrived{Job: specifier.Job{ID: "j", Team: team, Queue: queue, AcceptedAt: now, Steps: []specifier.Step{step}}})
		s, found := c.sessions["i-0000"], specifier.StepID{Job: "j"}.Task(0)
		c.stopOrphan(now, s, specifier.RunningTask{Task: found, Run: 1})
		plan := func() {
			for range 10 {
				now = now.Add(100 * time.Millisecond)
				c.Plan(now)
			}
		}
		plan()
		require.Len(t, s.allocations, 1, team)
		require.Equal(t, need, s.used, team)
		c.runEnded(now, s, specifier.EndedTask{Number: 1, Task: found, Run: 1, Reason: specifier.RunStopped})
		plan()
		require.Len(t, s.allocations, 2, team)
		require.Equal(t, need.Times(2), s.used, team)
	}
}

// TestReplacedRunIsReleased guards against a run that takes the place of an earlier run of its task on a server, whose capacity and start
// stay counted.
func TestReplacedRunIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 1, "a")
	s, need := c.sessions["i-0000"], specifier.Resources{MilliCores: 100}
	task := specifier.StepID{Job: "j"}.Task(0)
	for run := range 2 {
		s.add(&allocation{task: task, run: run + 1, need: need, state: reserved, team: "t", counted: need})
	}
	require.Equal(t, need, s.used)
	require.Equal(t, need, c.accounts.Usage("t").Running)
	s.release(task)
	require.Equal(t, specifier.Resources{}, s.used)
	require.Zero(t, s.starting)
	require.Equal(t, specifier.Resources{}, c.accounts.Usage("t").Running)
	require.Empty(t, c.runs)
}
