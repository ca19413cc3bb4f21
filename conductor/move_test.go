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
