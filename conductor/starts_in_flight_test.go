package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestStartsInFlightAreBounded guards against an owner that orders all tasks of a large job at once, so that the orders end without
// a response, leases are renewed too late, and urgent jobs wait behind them.
func TestStartsInFlightAreBounded(t *testing.T) {
	const maxStartsInFlight = 512
	o := newShardOwner()
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
	o.planFor(200 * time.Millisecond)
	large := smallJob(o.now)
	large.Queue.Priority = 1
	large.Steps[0] = specifier.Step{Count: 13_000, Need: specifier.Resources{MilliCores: 1}, Estimate: time.Second}
	o.Handle(o.now, conductor.JobArrived{Job: large})
	require.Len(t, o.placedJobs(200*time.Millisecond), maxStartsInFlight)
	require.Empty(t, o.placedJobs(200*time.Millisecond), "no start has a result yet")
	urgent := smallJob(o.now)
	urgent.ID = "0000000000000002"
	o.Handle(o.now, conductor.JobArrived{Job: urgent})
	require.Equal(t, []specifier.JobID{urgent.ID}, o.placedJobs(200*time.Millisecond))
	o.Handle(o.now, conductor.CommitEnded{Lane: 0})
	started := 0
	for _, start := range commandsOf[conductor.Start](o.planFor(50 * time.Millisecond)) {
		o.Handle(o.now, conductor.OrderEnded{
			Server: start.Server.ID, Incarnation: start.Server.Incarnation, Task: start.Order.Task, Run: start.Order.Run, Fence: start.Order.Fence,
		})
		started++
	}
	require.Equal(t, maxStartsInFlight, started)
	require.Len(t, o.placedJobs(200*time.Millisecond), maxStartsInFlight-1, "further tasks are placed after the results")
}

// placedJobs plans for a time and returns the job of each run that was placed.
func (o *shardOwner) placedJobs(d time.Duration) []specifier.JobID {
	var placed []specifier.JobID
	for _, decision := range commandsOf[conductor.Decision](o.planFor(d)) {
		if decision.Name == "RunPlaced" {
			placed = append(placed, decision.Task.Job)
		}
	}
	return placed
}
