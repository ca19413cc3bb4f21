package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/forecaster"
	"egretring.example/egretring/specifier"
)

// newFullRack returns an owner of a full server on the rack r1, which goes on to release capacity, and a free one on r2. A job that has missed
// its objective waits for r1.
func newFullRack(now time.Time) (owner *Conductor, far *session) {
	owner = newPassConductor(now, 2, "a")
	owner.forecaster = forecaster.New(forecaster.WithFarFactor(3))
	near, far := owner.sessions["i-0000"], owner.sessions["i-0001"]
	near.server.Labels, far.server.Labels = []string{"r1"}, []string{"r2"}
	near.add(&allocation{task: specifier.StepID{Job: "other"}.Task(0), run: 1, need: near.server.Capacity, state: confirmed})
	owner.forecaster.Released(now, "r1", 4000)
	owner.Handle(now, JobArrived{Job: specifier.Job{
		ID: "j", Queue: specifier.Queue{Service: "a", Priority: 1, Stretch: 4}, AcceptedAt: now.Add(-9 * time.Second),
		Steps: []specifier.Step{{Count: 1, Need: specifier.Resources{MilliCores: 500}, Estimate: 2 * time.Second, PreferredRack: "r1"}},
	}})
	return owner, far
}

// TestOverdueTaskStopsWaitingForNearServer guards against a task past its objective that waits for good for a rack of which others take all
// that becomes free.
func TestOverdueTaskStopsWaitingForNearServer(t *testing.T) {
	now := time.Unix(1000, 0)
	owner, far := newFullRack(now)
	// Servers are held for one step of a service at a time, so that others have no hold.
	owner.holdNotBefore["a"] = now.Add(time.Hour)
	for began := now; len(far.allocations) == 0 && now.Sub(began) < 30*time.Second; now = now.Add(10 * time.Millisecond) {
		owner.forecaster.Released(now, "r1", 40)
		owner.Plan(now)
	}
	require.Len(t, far.allocations, 1)
	// A run on the far server takes 4 s longer.
	require.InDelta(t, 4, now.Sub(time.Unix(1000, 0)).Seconds(), 0.2)
}

// TestTaskUsesHeldFarServer guards against far servers that are held for a task and stay idle, because it waits for a near one.
func TestTaskUsesHeldFarServer(t *testing.T) {
	now := time.Unix(1000, 0)
	owner, far := newFullRack(now)
	owner.Plan(now)
	require.Empty(t, far.allocations)
	owner.holds["a"] = &hold{
		step: specifier.StepID{Job: "j"}, begunAt: now, expiresAt: now.Add(holdTimeout), servers: []*session{far},
	}
	now = now.Add(100 * time.Millisecond)
	owner.Plan(now)
	require.Len(t, far.allocations, 1)
}
