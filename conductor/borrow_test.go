package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestLongRunningStepBorrowsNoIdleServer guards against a borrowed server that is never returned because a long-running task
// that fits its shard occupies it.
func TestLongRunningStepBorrowsNoIdleServer(t *testing.T) {
	o := newShardOwner()
	queue := specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second}
	full := specifier.Resources{MilliCores: 64000}
	elsewhere := serverAt("0")
	elsewhere.ID, elsewhere.Address = "i-9", "i-9"
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1"), elsewhere}})
	o.planFor(200 * time.Millisecond)
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: "0000000000000001", AcceptedAt: o.now, Queue: queue,
		Steps: []specifier.Step{{Count: 1, Need: full, Estimate: time.Second}},
	}})
	o.planFor(time.Second)
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: "0000000000000002", AcceptedAt: o.now, Queue: queue,
		Steps: []specifier.Step{{Count: 1, Need: full, LongRunning: true, Estimate: time.Second}},
	}})
	require.Empty(t, commandsOf[conductor.Borrow](o.planFor(6*time.Second)))
}
