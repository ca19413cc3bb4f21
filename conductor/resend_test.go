package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestNoResendAboveCapacity guards against a start that is sent again to a server whose capacity has shrunk since the first time.
func TestNoResendAboveCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 1, "a")
	s, need := c.sessions["i-0000"], specifier.Resources{MilliCores: 800}
	c.Handle(now, JobArrived{Job: specifier.Job{
		ID: "j", Queue: specifier.Queue{Service: "a"}, AcceptedAt: now, Steps: []specifier.Step{{Count: 1, Need: need, Estimate: time.Second}},
	}})
	a := &allocation{task: specifier.StepID{Job: "j"}.Task(0), run: 1, need: need, state: outcomeUnknown, fence: s.fence}
	s.add(a)
	require.True(t, c.mayResend(now, s, a))
	s.server.Capacity.MilliCores = 700
	require.False(t, c.mayResend(now, s, a))
}
