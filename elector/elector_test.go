package elector_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/timekeeper"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// electionTime is enough for a lease to expire and a successor to be elected.
const electionTime = 4 * time.Second

// candidate is an instance that takes part in elections. While it is partitioned, its reads and renewals fail.
type candidate struct {
	keeper.TransactionalStore
	store       *fakekeeper.Transactional
	partitioned atomic.Bool
	elector     *elector.Elector
	self        elector.Owner
	term        atomic.Pointer[elector.Term]
	cancel      context.CancelFunc
}

func (c *candidate) run(t *testing.T, name string) {
	c.TransactionalStore = c.store
	c.self = elector.Owner{Instance: name, Incarnation: time.Now().UnixNano(), Address: name}
	runOwner := func(ctx context.Context, term elector.Term) {
		c.term.Store(&term)
		<-ctx.Done()
		c.term.Store(nil)
	}
	c.elector = elector.New(c, c.self, runOwner, timekeeper.WallClock{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	c.cancel = cancel
	go c.elector.Run(ctx)
	time.Sleep(electionTime)
}

// Get implements keeper.TransactionalStore.
func (c *candidate) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if c.partitioned.Load() {
		return keeper.Entry{}, keeper.ErrUnavailable
	}
	return c.TransactionalStore.Get(ctx, key)
}

// List implements keeper.TransactionalStore.
func (c *candidate) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if c.partitioned.Load() {
		return keeper.Page{}, keeper.ErrUnavailable
	}
	return c.TransactionalStore.List(ctx, prefix)
}

// Renew implements keeper.TransactionalStore.
func (c *candidate) Renew(ctx context.Context, lease keeper.LeaseID) error {
	if c.partitioned.Load() {
		return keeper.ErrUnavailable
	}
	return c.TransactionalStore.Renew(ctx, lease)
}

func runWithCandidates(t *testing.T, test func(t *testing.T, first, second *candidate)) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.NewTransactional()
		first, second := candidate{store: store}, candidate{store: store}
		first.run(t, "first")
		require.NotNil(t, first.term.Load())
		second.run(t, "second")
		require.Nil(t, second.term.Load())
		test(t, &first, &second)
		first.cancel()
		second.cancel()
		time.Sleep(electionTime)
	})
}

// TestResignedOwnerIsNoPredecessor guards against a successor that waits for an owner that has already stopped acting
// as one.
func TestResignedOwnerIsNoPredecessor(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		first.elector.PredecessorsStopped(t.Context(), first.term.Load().Ownership)
		first.elector.Resign(first.term.Load().Epoch, "test")
		time.Sleep(electionTime / 2)
		require.NotNil(t, second.term.Load())
		require.Empty(t, second.term.Load().Predecessors)
	})
}

// TestOwnerRegainsLostKeyImmediately guards against an owner that stays out of the next election for seconds although
// it did not resign: its key expired in an outage of the store.
func TestOwnerRegainsLostKeyImmediately(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		second.partitioned.Store(true)
		epoch := first.term.Load().Epoch
		first.store.DeleteKey(elector.OwnerKey)
		first.elector.OwnershipLost(epoch, "test")
		time.Sleep(time.Second)
		require.NotNil(t, first.term.Load())
		require.Greater(t, first.term.Load().Epoch, epoch)
	})
}

// TestPartitionedOwnerIsPredecessor guards against a successor that does not know of an earlier owner that is still
// active, and against an owner that continues after its successor's query.
func TestPartitionedOwnerIsPredecessor(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		first.elector.PredecessorsStopped(t.Context(), first.term.Load().Ownership)
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		require.NotNil(t, first.term.Load(), "leases of runs have to be renewed while the store is out of reach")
		require.NotNil(t, second.term.Load())
		require.Equal(t, []elector.Owner{first.self}, second.term.Load().Predecessors)
		epoch := second.term.Load().Epoch
		require.False(t, first.elector.ResignBefore(first.self.Incarnation, epoch))
		time.Sleep(time.Second)
		require.True(t, first.elector.ResignBefore(first.self.Incarnation, epoch))
		require.Nil(t, first.term.Load())
	})
}

// TestLossesAreRecorded guards against an owner that does not know how many earlier owners may have left connections open.
func TestLossesAreRecorded(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		require.Empty(t, first.term.Load().Losses)
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		losses := second.term.Load().Losses
		require.Len(t, losses, 1)
		require.WithinDuration(t, time.Now(), losses[0], electionTime)

		third := candidate{store: first.store}
		third.run(t, "third")
		second.elector.PredecessorsStopped(t.Context(), second.term.Load().Ownership)
		second.elector.Resign(second.term.Load().Epoch, "test")
		time.Sleep(electionTime / 2)
		require.Len(t, third.term.Load().Losses, 1, "an owner that ends in good order is no loss")
		require.True(t, losses[0].Equal(third.term.Load().Losses[0]))

		third.elector.NoteLoss(third.term.Load().Epoch - 1)
		third.elector.NoteLoss(third.term.Load().Epoch)
		third.elector.Resign(third.term.Load().Epoch, "test")
		time.Sleep(2 * electionTime)
		require.Len(t, second.term.Load().Losses, 2, "the owner has left connections open")
		third.cancel()
	})
}

// TestRefusedOwnersAreCounted guards against an owner that does not know that servers have refused the owners before it.
func TestRefusedOwnersAreCounted(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		require.Zero(t, first.term.Load().RefusedBefore)
		first.elector.NoteRefused(first.term.Load().Epoch, 1)
		first.elector.Resign(first.term.Load().Epoch, "test")
		time.Sleep(electionTime / 2)
		require.Equal(t, 1, second.term.Load().RefusedBefore)
		time.Sleep(2 * electionTime)
		second.elector.Resign(second.term.Load().Epoch, "test")
		time.Sleep(electionTime / 2)
		require.Zero(t, first.term.Load().RefusedBefore, "the second one was not refused")
		time.Sleep(2 * electionTime)
		first.elector.NoteRefused(first.term.Load().Epoch, 3)
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		require.Zero(t, second.term.Load().RefusedBefore, "a lost owner has recorded nothing")
	})
}

// TestRecordedLossesAreBounded guards against a term that grows with each loss.
func TestRecordedLossesAreBounded(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, _ *candidate) {
		epoch := first.term.Load().Epoch
		for range 1000 {
			first.elector.NoteLoss(epoch)
		}
		newest := time.Now()
		time.Sleep(time.Millisecond)
		first.elector.NoteLoss(epoch)
		first.elector.Resign(epoch, "test")
		time.Sleep(electionTime)
		entry, err := first.store.Get(t.Context(), elector.TermKey)
		require.NoError(t, err)
		var record struct{ Losses []time.Time }
		require.NoError(t, json.Unmarshal(entry.Value, &record))
		require.LessOrEqual(t, len(record.Losses), 100)
		require.True(t, record.Losses[len(record.Losses)-1].After(newest))
	})
}

// TestUnconfirmedPredecessorsAreKept guards against a successor that drops an earlier owner of which its predecessor
// did not know whether it had stopped.
func TestUnconfirmedPredecessorsAreKept(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		require.Equal(t, []elector.Owner{first.self}, second.term.Load().Predecessors)
		third := candidate{store: first.store}
		third.run(t, "third")
		second.elector.Resign(second.term.Load().Epoch, "test")
		time.Sleep(electionTime / 2)
		require.Equal(t, []elector.Owner{first.self}, third.term.Load().Predecessors)
		third.cancel()
	})
}

// TestFirstTerm guards against a first owner of a cell, and all that follow it within seconds, that wait for an earlier
// owner that never existed, so that no instance could report that it has stopped.
func TestFirstTerm(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		require.Empty(t, first.term.Load().Predecessors)
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		require.Equal(t, []elector.Owner{first.self}, second.term.Load().Predecessors)
	})
}

// TestUnreadableTermIsUnknownPredecessor guards against dropping an earlier owner because its term cannot be decoded.
func TestUnreadableTermIsUnknownPredecessor(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, second *candidate) {
		_, err := first.store.Commit(t.Context(), keeper.Transaction{Writes: []keeper.Write{{Key: elector.TermKey, Value: []byte("{")}}})
		require.NoError(t, err)
		first.partitioned.Store(true)
		time.Sleep(electionTime)
		require.Equal(t, []elector.Owner{{}}, second.term.Load().Predecessors)
	})
}

// TestFollowersPollSlowlyAfterCompaction guards against followers that call the store without a pause once it has
// compacted the history of the election.
func TestFollowersPollSlowlyAfterCompaction(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, _ *candidate) {
		_, err := first.store.Commit(t.Context(), keeper.Transaction{Writes: []keeper.Write{{Key: "other"}}})
		require.NoError(t, err)
		first.store.Compact()
		before := first.store.Calls()
		time.Sleep(20 * time.Second)
		after := first.store.Calls()
		// The owner reads its key each second, and the follower reads and watches it every two seconds.
		require.Less(t, after.Reads-before.Reads, int64(40))
		require.Less(t, after.Watches-before.Watches, int64(15))
	})
}

// TestEarlierProcessCountsAsStopped guards against waiting for an earlier process of an instance, which has ended.
func TestEarlierProcessCountsAsStopped(t *testing.T) {
	runWithCandidates(t, func(t *testing.T, first, _ *candidate) {
		epoch := first.term.Load().Epoch
		require.True(t, first.elector.ResignBefore(first.self.Incarnation-1, epoch+1))
		require.False(t, first.elector.ResignBefore(first.self.Incarnation, epoch+1))
	})
}
