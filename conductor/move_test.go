package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestOutcomeOfEarlierMoveIsIgnored guards against a server with two owners after the late outcome of an earlier Move.
func TestOutcomeOfEarlierMoveIsIgnored(t *testing.T) {
	o := newShardOwner()
	first := lendServer(t, o)
	other := serverAt("1")
	other.ID, other.Address, other.Service = "i-2", "i-2", "other"
	returned := conductor.Transfer{Server: "i-1", Shard: 1, Home: 1, Epoch: lendEpoch, Revision: 160}
	listed := conductor.ServersListed{Servers: []specifier.Server{serverAt("1"), other}, Transfers: []conductor.Transfer{returned}}
	o.Handle(o.now, listed)
	listed.Transfers = nil
	o.Handle(o.now, listed)
	second := commandsOf[conductor.Move](o.planFor(300 * time.Millisecond))
	require.Len(t, second, 1, "lent again")
	require.EqualValues(t, 160, second[0].From[0].Revision)
	o.Handle(o.now, conductor.Moved{Number: first.Number, Transfers: []conductor.Transfer{returned}})
	require.False(t, o.renewsServer(200*time.Millisecond), "the outcome of the second move is unknown")
	o.Handle(o.now, conductor.Moved{Number: second[0].Number, Transfers: []conductor.Transfer{returned}})
	require.True(t, o.renewsServer(200*time.Millisecond), "the second move has failed")
}

// TestReturnWithDeletedKeyIsNoFailure guards against a server with two owners after a return whose response was lost and whose
// key a new owner of the home shard has deleted.
func TestReturnWithDeletedKeyIsNoFailure(t *testing.T) {
	o := newShardOwner()
	received := conductor.ServersListed{
		Servers:   []specifier.Server{serverAt("0")},
		Transfers: []conductor.Transfer{{Server: "i-1", Shard: 1, Home: 0, Epoch: lendEpoch, Revision: 130}},
	}
	o.Handle(o.now, received)
	moves := commandsOf[conductor.Move](o.planFor(5 * time.Second))
	require.Len(t, moves, 1)
	o.Handle(o.now, conductor.Moved{Number: moves[0].Number, Transfers: []conductor.Transfer{{Server: "i-1", Shard: 0, Home: 0}}})
	require.False(t, o.renewsServer(time.Second), "the server is back at its home shard")
	o.Handle(o.now, received)
	require.False(t, o.renewsServer(time.Second), "the transfers were read before the return")
	received.Transfers[0].Revision = 170
	o.Handle(o.now, received)
	o.Handle(o.now, received)
	require.True(t, o.renewsServer(time.Second), "the server was lent again")
}

// TestLentServerWithRunsIsNotRenewed guards against a lender that uses the fencing tokens of the new holder.
func TestLentServerWithRunsIsNotRenewed(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: move.From})
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: "0000000000000001", AcceptedAt: o.now,
		Queue: specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second},
		Steps: []specifier.Step{{Count: 1, Need: specifier.Resources{MilliCores: 1000}, Estimate: time.Second}},
	}})
	require.True(t, o.placesRun(200*time.Millisecond))
	o.Handle(o.now, conductor.ServersListed{
		Servers:   []specifier.Server{serverAt("1")},
		Transfers: []conductor.Transfer{{Server: "i-1", Shard: 0, Home: 1, Epoch: 110, Revision: 170}},
	})
	require.False(t, o.renewsServer(2*time.Second))
}

func (o *shardOwner) placesRun(d time.Duration) bool {
	for _, decision := range commandsOf[conductor.Decision](o.planFor(d)) {
		if decision.Name == "RunPlaced" {
			return true
		}
	}
	return false
}

// TestTransfersAreReadWithoutWish guards against a server that stays lent because its transfer took effect long after the last
// wish and is never read.
func TestTransfersAreReadWithoutWish(t *testing.T) {
	o := newShardOwner()
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}, Transfers: []conductor.Transfer{}})
	require.False(t, o.FollowsTransfers(o.now))
	require.False(t, o.FollowsTransfers(o.now.Add(2*time.Second)))
	require.True(t, o.FollowsTransfers(o.now.Add(3*time.Second)))
	o.now = o.now.Add(3 * time.Second)
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}})
	require.True(t, o.FollowsTransfers(o.now), "the list was read without the transfers")
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}, Transfers: []conductor.Transfer{}})
	require.False(t, o.FollowsTransfers(o.now))
}

// TestServerDrainingDuringMoveGetsNoRun guards against a run on a server that was listed as draining during a Move that failed.
func TestServerDrainingDuringMoveGetsNoRun(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	draining := serverAt("1")
	draining.Draining = true
	for range 10 {
		o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{draining}})
		o.planFor(300 * time.Millisecond)
	}
	o.Handle(o.now, conductor.JobArrived{Job: smallJob(o.now)})
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: move.From})
	require.False(t, o.placesRun(200*time.Millisecond))
}

// TestServerIsContactedAfterFailedMove guards against a run on a server that became unreachable while it was moving.
func TestServerIsContactedAfterFailedMove(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	o.planFor(10 * time.Second)
	o.Handle(o.now, conductor.JobArrived{Job: smallJob(o.now)})
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: move.From})
	for range 10 {
		o.now = o.now.Add(20 * time.Millisecond)
		for _, decision := range commandsOf[conductor.Decision](o.Plan(o.now)) {
			require.NotEqual(t, "RunPlaced", decision.Name, "the server has not responded yet")
		}
	}
}

func smallJob(now time.Time) specifier.Job {
	return specifier.Job{
		ID: "0000000000000001", AcceptedAt: now,
		Queue: specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second},
		Steps: []specifier.Step{{Count: 1, Need: specifier.Resources{MilliCores: 1000}, Estimate: time.Second}},
	}
}

// TestMoveConflictWithUnknownHolder guards against a server that stays in a Move for the rest of the term because its transfer
// in the store cannot be decoded.
func TestMoveConflictWithUnknownHolder(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: []conductor.Transfer{{Server: "i-1", Shard: -1, Home: -1, Revision: 120}}})
	require.False(t, o.renewsServer(time.Second), "the holder is not known")
	repaired := conductor.ServersListed{
		Servers:   []specifier.Server{serverAt("1")},
		Transfers: []conductor.Transfer{{Server: "i-1", Shard: 1, Home: 1, Epoch: lendEpoch, Revision: 130}},
	}
	o.Handle(o.now, repaired)
	require.True(t, o.renewsServer(time.Second))
}
