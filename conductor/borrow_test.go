package conductor_test

import (
	"fmt"
	"slices"
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

// TestWideStepBorrowsDespiteBacklog guards against a gang that does not fit its shard and never asks for servers because older
// steps that wait on other runs borrow idle ones.
func TestWideStepBorrowsDespiteBacklog(t *testing.T) {
	o := newShardOwner()
	queue := specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second}
	full := specifier.Resources{MilliCores: 64000}
	const wide specifier.JobID = "ffffffffffffffff"
	servers := []specifier.Server{serverAt("1")}
	for i := range 10 {
		server := serverAt("0")
		server.ID, server.Address = specifier.ServerID(fmt.Sprintf("f-%d", i)), fmt.Sprintf("f-%d", i)
		servers = append(servers, server)
	}
	o.Handle(o.now, conductor.ServersListed{Servers: servers})
	// The first task occupies the server because its record is never committed.
	for i := range 14 {
		o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
			ID: specifier.JobID(fmt.Sprintf("%016x", i)), AcceptedAt: o.now, Queue: queue,
			Steps: []specifier.Step{{Count: 1, Need: full, Estimate: time.Second}},
		}})
	}
	acceptedAt := o.now.Add(time.Millisecond)
	require.NotEmpty(t, commandsOf[conductor.Borrow](o.planFor(8*time.Second)))
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: wide, AcceptedAt: acceptedAt, Queue: queue, Steps: []specifier.Step{{Count: 3, Gang: true, Need: full, Estimate: time.Second}},
	}})
	require.True(t, slices.ContainsFunc(commandsOf[conductor.Borrow](o.planFor(20*time.Second)), func(b conductor.Borrow) bool {
		return b.Wanted.Step.Job == wide
	}))
}

// TestEachWaitingStepBorrows guards against a backlog in one shard beside idle servers in another one, because the servers that
// one step has borrowed count for all others, too.
func TestEachWaitingStepBorrows(t *testing.T) {
	o := newShardOwner()
	queue := specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second}
	full := specifier.Resources{MilliCores: 64000}
	const steps = 4
	servers := []specifier.Server{serverAt("1")}
	var lent []conductor.Transfer
	for i := range steps {
		server := serverAt("0")
		server.ID, server.Address = specifier.ServerID(fmt.Sprintf("f-%d", i)), fmt.Sprintf("f-%d", i)
		servers = append(servers, server)
		lent = append(lent, conductor.Transfer{Server: server.ID, Shard: 1, Home: 0, Epoch: lendEpoch, Revision: int64(130 + i)})
	}
	// The first task occupies the server because its record is never committed.
	for i := range steps + 1 {
		o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
			ID: specifier.JobID(fmt.Sprintf("%016x", i)), AcceptedAt: o.now, Queue: queue,
			Steps: []specifier.Step{{Count: 1, Need: full, Estimate: time.Second}},
		}})
	}
	for n := range steps {
		o.Handle(o.now, conductor.ServersListed{Servers: servers, Transfers: lent[:n]})
		var asked []specifier.JobID
		for _, b := range commandsOf[conductor.Borrow](o.planFor(5 * time.Second)) {
			if !slices.Contains(asked, b.Wanted.Step.Job) {
				asked = append(asked, b.Wanted.Step.Job)
			}
		}
		require.Len(t, asked, steps-n, "%d servers are borrowed", n)
	}
}
