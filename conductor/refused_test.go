package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// ownerOfFour is an owner of four servers, of which some respond and the others have one result for all renewals.
type ownerOfFour struct {
	ownerOfOneServer
	responding int
	others     specifier.OrderResult
	starts     map[specifier.ServerID]int
	// resigned is the resignation of the owner.
	resigned *conductor.Resign
}

// newOwnerOfFour returns an owner after a number of owners in a row that have resigned because servers refused their connections.
func newOwnerOfFour(t *testing.T, refusedBefore int) *ownerOfFour {
	o := &ownerOfFour{
		ownerOfOneServer: ownerOfOneServer{t: t, now: time.Unix(1_700_000_000, 0)}, responding: 4, starts: make(map[specifier.ServerID]int),
	}
	o.Conductor = conductor.New(o.now, 1, conductor.WithRefusedOwners(refusedBefore))
	var servers []specifier.Server
	for i := range 4 {
		servers = append(servers, specifier.Server{
			ID: specifier.ServerID(fmt.Sprint("s", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: 1,
			Capacity: specifier.Resources{MilliCores: 8000, MemoryMB: 8000},
		})
	}
	o.Handle(o.now, conductor.ServersListed{Servers: servers})
	return o
}

// run plans for a time and reports whether the owner has resigned.
func (o *ownerOfFour) run(d time.Duration) bool {
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(20 * time.Millisecond) {
		commands := o.Plan(o.now)
		if resignations := commandsOf[conductor.Resign](commands); len(resignations) > 0 {
			o.resigned = &resignations[0]
			return true
		}
		for _, commit := range commandsOf[conductor.Commit](commands) {
			o.Handle(o.now, conductor.CommitEnded{Lane: commit.Lane})
		}
		for _, start := range commandsOf[conductor.Start](commands) {
			o.starts[start.Server.ID]++
		}
		for _, renewal := range commandsOf[conductor.Renew](commands) {
			result := o.others
			if renewal.Server.ID < specifier.ServerID(fmt.Sprint("s", o.responding)) {
				result = specifier.OrderDone
			}
			o.answer(renewal, result)
		}
	}
	return false
}

// TestRefusedOwnerGoesOn guards against owners that resign one after the other because most servers refuse their connections, while
// jobs wait that the other servers could run.
func TestRefusedOwnerGoesOn(t *testing.T) {
	o := newOwnerOfFour(t, 2)
	o.responding, o.others = 1, specifier.OrderRefused
	require.False(t, o.run(5*time.Second))
	o.Handle(o.now, conductor.JobArrived{Job: newJob(0, jobOptions{Tasks: 2, MilliCores: 1000, Seconds: 1})})
	require.False(t, o.run(time.Minute))
	require.Equal(t, map[specifier.ServerID]int{"s0": 2}, o.starts)
}

// TestOwnerWhoseConnectionsAreResetResigns guards against jobs that fail because an owner keeps its shard while a cut of the network
// resets its connections, and another instance reaches the servers.
func TestOwnerWhoseConnectionsAreResetResigns(t *testing.T) {
	for refusedBefore, reachedFirst := range map[int]bool{0: true, 1: false, 2: true} {
		o := newOwnerOfFour(t, refusedBefore)
		if reachedFirst {
			require.False(t, o.run(time.Second))
		}
		o.responding, o.others = 1, specifier.OrderRefused
		require.True(t, o.run(3*time.Second), refusedBefore)
		want := refusedBefore + 1
		if reachedFirst {
			want = 1
		}
		require.Equal(t, want, o.resigned.Refused, "an owner that has reached the servers ends the row")
	}
}

// TestOwnerRefusedByAllResigns guards against an owner that keeps its shard for good although only its own connections are reset.
func TestOwnerRefusedByAllResigns(t *testing.T) {
	o := newOwnerOfFour(t, 2)
	o.responding, o.others = 0, specifier.OrderRefused
	require.False(t, o.run(5*time.Second))
	require.True(t, o.run(10*time.Second))
	require.Equal(t, 3, o.resigned.Refused)
}

// TestOwnerOfUnreachableServersResigns guards against an owner that keeps its shard although another instance may reach the servers.
func TestOwnerOfUnreachableServersResigns(t *testing.T) {
	o := newOwnerOfFour(t, 2)
	require.False(t, o.run(time.Second))
	o.responding, o.others = 1, specifier.OrderUnknown
	require.True(t, o.run(5*time.Second))
	require.Zero(t, o.resigned.Refused)
}
