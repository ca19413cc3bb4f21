package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/forecaster"
	"egretring.example/egretring/specifier"
)

// TestTaskWaitsForNearServer guards against a task that starts away from its data although a near server is free soon, one that waits
// longer than its objective allows, and one that waits in a cell without a configured far factor or without servers on the rack.
func TestTaskWaitsForNearServer(t *testing.T) {
	for name, c := range map[string]struct {
		farFactor float64
		// releasedCores are released on the rack in each second before the task arrives.
		releasedCores int64
		rackLeaves    bool
		// waitsFor is how long the task waits before it starts on the far server; zero starts it at once.
		waitsFor time.Duration
	}{
		// The objective is 4 times 2 s, and a run on the far server takes 6 s, so that it has to start within 2 s.
		"near server is free soon":    {farFactor: 3, releasedCores: 2, waitsFor: 2 * time.Second},
		"rack releases too little":    {farFactor: 3},
		"far factor not configured":   {releasedCores: 2},
		"no server on the rack is up": {farFactor: 3, releasedCores: 2, rackLeaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			owner := newPassConductor(now, 2, "a")
			owner.forecaster = forecaster.New(forecaster.WithFarFactor(c.farFactor))
			near, far := owner.sessions["i-0000"], owner.sessions["i-0001"]
			near.server.Labels, far.server.Labels = []string{"r1"}, []string{"r2"}
			near.add(&allocation{task: specifier.StepID{Job: "other"}.Task(0), run: 1, need: near.server.Capacity, state: confirmed})
			near.listed = !c.rackLeaves
			for second := range 10 {
				owner.forecaster.Released(now.Add(time.Duration(second-10)*time.Second), "r1", 1000*c.releasedCores)
			}
			step := specifier.Step{
				Count: 1, Need: specifier.Resources{MilliCores: 500}, Estimate: 2 * time.Second, PreferredRack: "r1",
			}
			owner.Handle(now, JobArrived{Job: specifier.Job{
				ID: "j", Queue: specifier.Queue{Service: "a", Priority: 1, Stretch: 4}, AcceptedAt: now, Steps: []specifier.Step{step},
			}})
			arrived := now
			for len(far.allocations) == 0 && now.Sub(arrived) < 10*time.Second {
				owner.Plan(now)
				now = now.Add(10 * time.Millisecond)
			}
			require.InDelta(t, c.waitsFor.Seconds(), now.Sub(arrived).Seconds(), 0.2)
		})
	}
}

// TestWaitingTaskTakesNearServer guards against a wait that does not end when a near server becomes free.
func TestWaitingTaskTakesNearServer(t *testing.T) {
	now := time.Unix(1000, 0)
	owner := newPassConductor(now, 2, "a")
	owner.forecaster = forecaster.New(forecaster.WithFarFactor(3))
	near, far := owner.sessions["i-0000"], owner.sessions["i-0001"]
	near.server.Labels, far.server.Labels = []string{"r1"}, []string{"r2"}
	occupied := specifier.StepID{Job: "other"}.Task(0)
	near.add(&allocation{task: occupied, run: 1, need: near.server.Capacity, state: confirmed})
	owner.forecaster.Released(now, "r1", 4000)
	owner.Handle(now, JobArrived{Job: specifier.Job{
		ID: "j", Queue: specifier.Queue{Service: "a", Priority: 1, Stretch: 4}, AcceptedAt: now,
		Steps: []specifier.Step{{Count: 1, Need: specifier.Resources{MilliCores: 500}, Estimate: 2 * time.Second, PreferredRack: "r1"}},
	}})
	for range 20 {
		owner.Plan(now)
		now = now.Add(10 * time.Millisecond)
	}
	require.Empty(t, far.allocations)
	near.release(occupied)
	for range 20 {
		owner.Plan(now)
		now = now.Add(10 * time.Millisecond)
	}
	require.Len(t, near.allocations, 1)
	require.Empty(t, far.allocations)
}

// TestStepThatWaitsForNearServerTakesNothingElse guards against a step that waits for its rack and meanwhile occupies advisors, borrows
// servers or has some held, and against one that gets no advice when a server on its rack becomes free.
func TestStepThatWaitsForNearServerTakesNothingElse(t *testing.T) {
	now := time.Unix(1000, 0)
	owner := newPassConductor(now, 2, "a")
	owner.forecaster = forecaster.New(forecaster.WithFarFactor(3))
	near, far := owner.sessions["i-0000"], owner.sessions["i-0001"]
	near.server.Labels, far.server.Labels = []string{"r1"}, []string{"r2"}
	elsewhere := far.server
	elsewhere.ID = "elsewhere"
	owner.shard.others[elsewhere.ID] = elsewhere
	occupied := specifier.StepID{Job: "other"}.Task(0)
	near.add(&allocation{task: occupied, run: 1, need: near.server.Capacity, state: confirmed})
	owner.forecaster.Released(now, "r1", 4000)
	owner.Handle(now, AdvisorsChanged{Advisors: []string{"advisor"}})
	queue := specifier.Queue{Service: "a", Priority: 1, Stretch: 10, Advice: specifier.AdviceCost{Needed: true, Fixed: 10 * time.Millisecond}}
	owner.Handle(now, JobArrived{Job: specifier.Job{ID: "j", Queue: queue, AcceptedAt: now, Steps: []specifier.Step{
		{Count: 1, Need: specifier.Resources{MilliCores: 500}, Estimate: 20 * time.Second, PreferredRack: "r1"},
	}}})
	var named []specifier.ServerID
	plan := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			owner.forecaster.Released(now, "r1", 40)
			for _, command := range owner.Plan(now) {
				if call, ok := command.(Advise); ok {
					named = append(named, call.Servers...)
				}
			}
		}
	}
	plan(holdAfter + 2*time.Second)
	require.Empty(t, named)
	require.Empty(t, owner.holds)
	require.Empty(t, owner.needsAdvice)

	// A step that advice keeps from the free server would borrow another one.
	w := owner.jobs["j"].waitingSteps[0]
	w.job.adviceFor(w.step.ID).refused[far.id] = far.server.Incarnation
	borrows := func() bool {
		owner.stepsThatBorrow(now, owner.usableByHome(now))
		return len(owner.stepsThatBorrow(now.Add(2*borrowAfter), owner.usableByHome(now))) > 0
	}
	require.False(t, borrows())
	until := w.wait.nearUntil
	w.wait.nearUntil = time.Time{}
	require.True(t, borrows())
	w.wait.nearUntil = until
	delete(w.job.adviceFor(w.step.ID).refused, far.id)

	near.release(occupied)
	plan(time.Second)
	require.Equal(t, []specifier.ServerID{near.id}, named)
}
