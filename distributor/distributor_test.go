package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// startDistributor starts a distributor that is stopped at the end of the test.
func startDistributor(t *testing.T, store keeper.Store, name string, peers ...PeerSource) *Distributor {
	d := New(store,
		WithInstance(describer.InstanceID(name)),
		WithSeed(20261204),
		WithPeers(func() []PeerSource { return peers }),
	)
	d.Start()
	t.Cleanup(func() { require.NoError(t, d.Stop()) })
	return d
}

func accept(t *testing.T, d *Distributor, id string, value int) int64 {
	ticket := limitTicket(id, d.Status().Applied, value, "red")
	number, err := d.Accept(t.Context(), ticket)
	require.NoError(t, err)
	return number
}

// waitFor waits until all distributors have applied a number and returns how long it took, in synctest's virtual time
// if the test uses it.
func waitFor(t *testing.T, number int64, list ...*Distributor) time.Duration {
	began := time.Now()
	for _, d := range list {
		subscription := d.Subscribe()
		for state := range subscription.States() {
			if state.Applied() >= number {
				break
			}
			require.Less(t, time.Since(began), time.Hour, "ticket %d is not in force", number)
		}
		subscription.Close()
	}
	return time.Since(began)
}

// TestTicketIsInForceOn200InstancesInTime guards against a ticket that takes longer than 8 s, the bound for the size
// expected in two years, until it is in force: with a store that responds in 5 ms, after an outage of the store, and
// with a store that takes 400 ms for a call.
func TestTicketIsInForceOn200InstancesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		store := fakekeeper.New()
		store.SetFaults(fakekeeper.Faults{Delay: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000})
		var list []*Distributor
		for i := range 200 {
			list = append(list, startDistributor(t, store, fmt.Sprint(i)))
		}
		waitFor(t, 0, list...)

		began := time.Now()
		waitFor(t, accept(t, list[0], "fast", 1), list...)
		fast := time.Since(began)

		store.SetFaults(fakekeeper.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		store.SetFaults(fakekeeper.Faults{Delay: 5 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000})
		began = time.Now()
		waitFor(t, accept(t, list[7], "after outage", 2), list...)
		afterOutage := time.Since(began)

		store.SetFaults(fakekeeper.Faults{Delay: 400 * time.Millisecond})
		began = time.Now()
		waitFor(t, accept(t, list[9], "slow", 3), list...)
		slow := time.Since(began)

		t.Logf("from accept to in force on 200 instances: %v; after an outage: %v; slow store: %v", fast, afterOutage, slow)
		require.Less(t, fast, bound)
		require.Less(t, afterOutage, bound)
		require.Less(t, slow, bound)
	})
}

// TestTicketWaitsDuringStoreOutage guards against a ticket that is lost or accepted twice when it waits for the store,
// and against a status that does not report since when the store has been unreachable and which tickets wait.
func TestTicketWaitsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		d := startDistributor(t, store, "a")
		waitFor(t, 0, d)
		waitFor(t, accept(t, d, "first", 1), d)
		down := time.Now()
		store.SetFaults(fakekeeper.Faults{Down: true})
		results := make(chan error, 1)
		go func() {
			_, err := d.Accept(t.Context(), limitTicket("waits", 1, 2, "red"))
			results <- err
		}()
		time.Sleep(30 * time.Minute)
		status := d.Status()
		require.False(t, status.Store.Reachable)
		require.WithinDuration(t, down, status.Store.Since, time.Second)
		require.Len(t, status.Waiting, 1)
		require.Equal(t, "waits", status.Waiting[0].ID)

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := d.Accept(short, limitTicket("given up", 1, 2, "blue"))
		require.True(t, classifier.IsErrKind(err, classifier.StoreUnavailable), "%v", err)

		store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 3})
		require.NoError(t, <-results)
		require.Equal(t, int64(2), d.Status().Applied)
		require.Empty(t, d.Status().Waiting)
		// A single lost response makes the store count as unreachable until the next call.
		time.Sleep(2 * watchTimeout)
		require.True(t, d.Status().Store.Reachable)
		number, err := d.Accept(t.Context(), limitTicket("waits", 1, 2, "red"))
		require.NoError(t, err)
		require.Equal(t, int64(2), number, "applying a ticket again changes nothing")
	})
}

// TestSlowStoreIsReported guards against a slow store that the status does not report as slow.
func TestSlowStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		d := startDistributor(t, store, "a")
		waitFor(t, 0, d)
		store.SetFaults(fakekeeper.Faults{Delay: 2 * time.Second})
		accept(t, d, "slow", 1)
		require.True(t, d.Status().Store.Slow)
		require.True(t, d.Status().Store.Reachable)
		require.False(t, d.Status().Store.Since.IsZero())
	})
}

// unreachablePeer is a peer that does not respond.
type unreachablePeer struct{}

func (unreachablePeer) Tickets(context.Context, int64) (Batch, error) {
	return Batch{}, errors.New("connection refused")
}

// encodedPeer is a peer whose batches are encoded and decoded, as between instances.
type encodedPeer struct {
	PeerSource
}

func (p encodedPeer) Tickets(ctx context.Context, after int64) (Batch, error) {
	var decoded Batch
	batch, err := p.PeerSource.Tickets(ctx, after)
	if err != nil {
		return decoded, err
	}
	encoded, err := json.Marshal(batch)
	if err != nil {
		return decoded, err
	}
	return decoded, json.Unmarshal(encoded, &decoded)
}

// TestRestartDuringOutageTakesLatestPeerState guards against an instance that starts during an outage of the store and
// becomes ready without a state, or takes an older state although a peer has a newer one.
func TestRestartDuringOutageTakesLatestPeerState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		partitioned := &partitionedStore{Store: store}
		stale, fresh := startDistributor(t, partitioned, "stale"), startDistributor(t, store, "fresh")
		waitFor(t, 0, stale, fresh)
		waitFor(t, accept(t, fresh, "first", 1), stale, fresh)
		partitioned.down.Store(true)
		for i := range 1700 {
			accept(t, fresh, fmt.Sprintf("more-%d", i), i)
		}
		store.SetFaults(fakekeeper.Faults{Down: true})
		alone := startDistributor(t, store, "alone", unreachablePeer{})
		restarted := startDistributor(t, store, "restarted", unreachablePeer{}, stale, encodedPeer{fresh}, alone)
		time.Sleep(10 * time.Second)
		_, err := alone.State()
		require.True(t, classifier.IsErrKind(err, classifier.NotReady))
		_, err = alone.Accept(t.Context(), limitTicket("x", 0, 1, "red"))
		require.True(t, classifier.IsErrKind(err, classifier.NotReady))
		require.Equal(t, int64(1), stale.Status().Applied)
		require.Equal(t, int64(1701), restarted.Status().Applied)
		want, _ := fresh.State()
		got, _ := restarted.State()
		require.Equal(t, want.Snapshot(), got.Snapshot())
		store.SetFaults(fakekeeper.Faults{})
		waitFor(t, 1701, alone)
	})
}

// TestTicketReportedByPeerIsFetched guards against an instance that does not receive new tickets while only its own
// connection to the store is interrupted.
func TestTicketReportedByPeerIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		partitioned := &partitionedStore{Store: store}
		fresh := startDistributor(t, store, "fresh")
		behind := startDistributor(t, partitioned, "behind", unreachablePeer{}, fresh)
		waitFor(t, 0, behind, fresh)
		partitioned.down.Store(true)
		number := accept(t, fresh, "news", 1)
		behind.RecordReportedTicket(number)
		took := waitFor(t, number, behind)
		require.Less(t, took, 5*time.Second)
	})
}

// TestCompactionKeepsStateAndBoundsStore guards against tickets that are deleted before a snapshot contains them, a
// store that grows without bound, and an instance that cannot start from a snapshot.
func TestCompactionKeepsStateAndBoundsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		list := []*Distributor{
			startDistributor(t, store, "a"), startDistributor(t, store, "b"), startDistributor(t, store, "c"),
		}
		waitFor(t, 0, list...)
		for i := range 1600 {
			accept(t, list[i%3], fmt.Sprintf("t%d", i), i)
			waitFor(t, int64(i)+1, list...)
			if i%500 == 0 {
				time.Sleep(2 * time.Minute)
			}
		}
		time.Sleep(5 * time.Minute)
		tickets, err := store.List(t.Context(), ticketsPrefix)
		require.NoError(t, err)
		require.Equal(t, ticketKey(501), tickets.Entries[0].Key)
		require.Len(t, tickets.Entries, 1100)
		snapshots, err := store.List(t.Context(), snapshotsPrefix)
		require.NoError(t, err)
		keys := slices.Collect(func(yield func(string) bool) {
			for _, entry := range snapshots.Entries {
				if !yield(entry.Key) {
					return
				}
			}
		})
		require.Equal(t, []string{partKey(1000, 0), partKey(1500, 0)}, keys)
		late := startDistributor(t, store, "late")
		waitFor(t, 1600, late)
		want, _ := list[0].State()
		got, _ := late.State()
		require.Equal(t, want.Snapshot(), got.Snapshot())
		_, err = late.Accept(t.Context(), limitTicket("old", 100, 1, "red"))
		require.True(t, classifier.IsErrKind(err, classifier.Conflict), "%v", err)
	})
}
