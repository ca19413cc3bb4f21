package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

const (
	lendEpoch = 100
	// fenceUnit is the distance of the fencing tokens of two epochs.
	fenceUnit = 1 << 16
)

// shardOwner is the owner of shard 1 of a cell; servers are at home in shard 0 or 1 as their zone says.
type shardOwner struct {
	*conductor.Conductor
	now time.Time
}

func newShardOwner() *shardOwner {
	now := time.Unix(1_700_000_000, 0)
	homeOf := func(server specifier.Server) int {
		if server.Zone == "1" {
			return 1
		}
		return 0
	}
	return &shardOwner{Conductor: conductor.New(now, lendEpoch, conductor.WithShard(1, homeOf)), now: now}
}

func serverAt(home string) specifier.Server {
	return specifier.Server{
		ID: "i-1", Service: "s", Address: "i-1", Zone: home, Incarnation: 1, Capacity: specifier.Resources{MilliCores: 64000},
	}
}

func commandsOf[C conductor.Command](commands []conductor.Command) []C {
	var found []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			found = append(found, c)
		}
	}
	return found
}

// planFor plans for a time and answers all lease renewals with an empty report.
func (o *shardOwner) planFor(d time.Duration) []conductor.Command {
	var all []conductor.Command
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(20 * time.Millisecond) {
		commands := o.Plan(o.now)
		for _, renew := range commandsOf[conductor.Renew](commands) {
			o.Handle(o.now, conductor.RenewEnded{
				Server: renew.Server.ID, Sequence: renew.Sequence, Fence: renew.Fence, SentAt: o.now,
				Report: specifier.ServerReport{Incarnation: 1, Clock: time.Minute},
			})
		}
		all = append(all, commands...)
	}
	return all
}

// TestHolderOfServer guards against a server with two owners, one of which does not know yet that it was replaced, and
// against a fencing token that an earlier holder has used.
func TestHolderOfServer(t *testing.T) {
	cases := []struct {
		name     string
		home     string
		transfer conductor.Transfer
		want     int64
	}{
		{"at home", "1", conductor.Transfer{}, lendEpoch},
		{"at home elsewhere", "0", conductor.Transfer{}, 0},
		{"received by a predecessor", "0", conductor.Transfer{Shard: 1, Home: 0, Epoch: 90, Revision: 95}, lendEpoch},
		{"received by this owner", "0", conductor.Transfer{Shard: 1, Home: 0, Epoch: lendEpoch, Revision: 130}, 130},
		{"received by a successor", "0", conductor.Transfer{Shard: 1, Home: 0, Epoch: 120, Revision: 130}, 0},
		{"lent", "1", conductor.Transfer{Shard: 0, Home: 1, Epoch: 90, Revision: 95}, 0},
		{"returned to this owner", "1", conductor.Transfer{Shard: 1, Home: 1, Epoch: lendEpoch, Revision: 140}, 140},
		{"returned to a successor", "1", conductor.Transfer{Shard: 1, Home: 1, Epoch: 120, Revision: 140}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newShardOwner()
			listed := conductor.ServersListed{Servers: []specifier.Server{serverAt(c.home)}}
			if c.transfer.Revision != 0 {
				c.transfer.Server = "i-1"
				listed.Transfers = []conductor.Transfer{c.transfer}
			}
			o.Handle(o.now, listed)
			renewals := commandsOf[conductor.Renew](o.Plan(o.now))
			if c.want == 0 {
				require.Empty(t, renewals)
				return
			}
			require.Len(t, renewals, 1)
			require.Equal(t, c.want*fenceUnit, renewals[0].Fence)
		})
	}
}

// lendServer makes the owner send the transaction that lends its server to shard 0.
func lendServer(t *testing.T, o *shardOwner) conductor.Move {
	for range 2 {
		// The server and one more, as at most half of them are lent.
		other := serverAt("1")
		other.ID, other.Address, other.Service = "i-2", "i-2", "other"
		o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{serverAt("1"), other}})
		o.planFor(100 * time.Millisecond)
	}
	o.Handle(o.now, conductor.ServersWanted{
		Shard: 0, Epoch: 110, Service: "s", Need: specifier.Resources{MilliCores: 1000}, Tasks: 1, ReadRevision: lendEpoch,
	})
	moves := commandsOf[conductor.Move](o.planFor(200 * time.Millisecond))
	require.Len(t, moves, 1)
	return moves[0]
}

func (o *shardOwner) renewsServer(d time.Duration) bool {
	for _, renew := range commandsOf[conductor.Renew](o.planFor(d)) {
		if renew.Server.ID == "i-1" {
			return true
		}
	}
	return false
}

// TestServerIsNotUsedDuringMove guards against a lender that goes on using a server whose transfer may have taken effect, or
// that takes a read from before its transaction for a return.
func TestServerIsNotUsedDuringMove(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	before := conductor.ServersListed{Servers: []specifier.Server{serverAt("1")}}
	require.False(t, o.renewsServer(time.Second))
	o.Handle(o.now, before)
	require.False(t, o.renewsServer(time.Second), "the outcome is still unknown")
	move.To[0].Revision = 150
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: move.To})
	o.Handle(o.now, before)
	require.False(t, o.renewsServer(time.Second), "the server is lent")
	before.Transfers = []conductor.Transfer{{Server: "i-1", Shard: 1, Home: 1, Epoch: lendEpoch, Revision: 140}}
	o.Handle(o.now, before)
	require.False(t, o.renewsServer(time.Second), "the transfer is older than that to the other shard")
	before.Transfers[0].Revision = 160
	o.Handle(o.now, before)
	require.True(t, o.renewsServer(time.Second))
}

// TestServerIsUsedAfterFailedMove guards against a server that no shard uses after a transaction without effect, and against
// repeating the transaction for a borrower that is gone.
func TestServerIsUsedAfterFailedMove(t *testing.T) {
	o := newShardOwner()
	move := lendServer(t, o)
	o.Handle(o.now, conductor.Moved{Number: move.Number, Transfers: move.From})
	require.True(t, o.renewsServer(time.Second))
	require.Empty(t, commandsOf[conductor.Move](o.planFor(time.Second)))
}

// TestLostServerIsReturned guards against keys of borrowed servers that no longer exist and that nobody deletes.
func TestLostServerIsReturned(t *testing.T) {
	o := newShardOwner()
	o.Handle(o.now, conductor.ServersListed{Transfers: []conductor.Transfer{{Server: "i-1", Shard: 1, Home: 0, Epoch: 90, Revision: 95}}})
	moves := commandsOf[conductor.Move](o.planFor(5 * time.Second))
	require.Len(t, moves, 1)
	require.Equal(t, []conductor.Transfer{{Server: "i-1", Shard: 0, Home: 0}}, moves[0].To)
}

// newLender returns an owner with eight servers, h-0 to h-7, all idle.
func newLender() *shardOwner {
	o := newShardOwner()
	var servers []specifier.Server
	for i := range 8 {
		server := serverAt("1")
		server.ID, server.Address = specifier.ServerID(fmt.Sprintf("h-%d", i)), fmt.Sprintf("h-%d", i)
		servers = append(servers, server)
	}
	for range 2 {
		o.Handle(o.now, conductor.ServersListed{Servers: servers})
		o.planFor(100 * time.Millisecond)
	}
	return o
}

// TestIdleServersAreLentBesideStepThatWaitsForAdvice guards against a shard with idle servers that lends none to one with a
// backlog, because one of its own steps waits for tickets and not for capacity.
func TestIdleServersAreLentBesideStepThatWaitsForAdvice(t *testing.T) {
	o := newLender()
	queue := specifier.Queue{
		Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second,
		Advice: specifier.AdviceCost{Needed: true, Fixed: 50 * time.Millisecond, PerServer: time.Millisecond},
	}
	o.Handle(o.now, conductor.AdvisorsChanged{Advisors: []string{"a"}})
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: "0000000000000001", AcceptedAt: o.now, Queue: queue,
		Steps: []specifier.Step{{Count: 3, Gang: true, Need: specifier.Resources{MilliCores: 60000}, Estimate: time.Second}},
	}})
	advise := commandsOf[conductor.Advise](o.planFor(time.Second))
	require.NotEmpty(t, advise)
	o.Handle(o.now, conductor.Advised{
		Step: advise[0].Step, Advisor: "a", Servers: advise[0].Servers[:2], Incarnations: advise[0].Incarnations, ValidUntil: o.now.Add(time.Minute),
		Grants: []specifier.Grant{{Server: "h-1", Ticket: "t"}},
	})
	o.planFor(time.Second)
	o.Handle(o.now, conductor.ServersWanted{
		Shard: 0, Epoch: 110, Service: "s", Need: specifier.Resources{MilliCores: 60000}, Tasks: 4, ReadRevision: lendEpoch, IdleOnly: true,
	})
	moves := commandsOf[conductor.Move](o.planFor(200 * time.Millisecond))
	require.Len(t, moves, 1)
	require.Len(t, moves[0].To, 4)
	for _, transfer := range moves[0].To {
		require.NotEqual(t, specifier.ServerID("h-1"), transfer.Server, "the step that waits is admitted to it")
	}
}

// lendFor returns how many idle servers the owner lends for wishes of three tasks each.
func (o *shardOwner) lendFor(wishes ...conductor.ServersWanted) int {
	for i, wanted := range wishes {
		wanted.Step.Job = specifier.JobID(fmt.Sprintf("%016x", i))
		wanted.Shard, wanted.Epoch, wanted.Service, wanted.ReadRevision, wanted.IdleOnly = 0, 110, "s", lendEpoch, true
		wanted.Need, wanted.Tasks = specifier.Resources{MilliCores: 60000}, 3
		o.Handle(o.now, wanted)
	}
	lent := 0
	for _, move := range commandsOf[conductor.Move](o.planFor(200 * time.Millisecond)) {
		lent += len(move.To)
	}
	return lent
}

// TestIdleServersAreLentToEachStep guards against a shard with idle servers that lends no more of them than the widest step of another
// shard needs.
func TestIdleServersAreLentToEachStep(t *testing.T) {
	require.Equal(t, 6, newLender().lendFor(conductor.ServersWanted{}, conductor.ServersWanted{}))
}

// TestBusyShardLendsNothingForWorthlessSteps guards against urgent jobs that become late because idle servers run jobs of another shard
// whose results have no value any more.
func TestBusyShardLendsNothingForWorthlessSteps(t *testing.T) {
	o := newLender()
	queue := specifier.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second}
	o.Handle(o.now, conductor.JobArrived{Job: specifier.Job{
		ID: "0000000000000001", AcceptedAt: o.now, Queue: queue,
		Steps: []specifier.Step{{Count: 5, Need: specifier.Resources{MilliCores: 55000}, Estimate: time.Minute}},
	}})
	o.planFor(200 * time.Millisecond)
	require.Zero(t, o.lendFor(conductor.ServersWanted{Worthless: true}))
	require.Positive(t, o.lendFor(conductor.ServersWanted{}))
}
