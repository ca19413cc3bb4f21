package elector_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/timekeeper"
)

// TestElectionsOfLargeCellLeaveRoomForTheOwner guards against a cell that never gets a lasting owner, because the calls of all
// instances that take part in elections exceed the rate limit of the store, which then refuses the owner's calls, too. The limits
// are the share of one of eight shards of a store that admits 400 writes and 2,000 reads a second.
func TestElectionsOfLargeCellLeaveRoomForTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, candidates = 300, 8
		store := fakekeeper.NewTransactional()
		store.SetFaults(fakekeeper.Faults{ReadsPerSecond: 250, WritesPerSecond: 50, Delay: 4 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			// An owner needs some time to end its term.
			time.Sleep(5 * time.Second)
		}()
		var terms atomic.Int64
		runOwner := func(ctx context.Context, _ elector.Term) {
			terms.Add(1)
			// The owner reads its jobs before it starts.
			for ctx.Err() == nil {
				if _, err := store.List(ctx, "egretring/"); err == nil {
					break
				}
				timekeeper.Sleep(ctx, 150*time.Millisecond)
			}
			<-ctx.Done()
		}
		for i := range instances {
			self := elector.Owner{Instance: fmt.Sprint("instance-", i), Incarnation: time.Now().UnixNano(), Address: fmt.Sprint(i)}
			spread := func() time.Duration { return instances * 8 * time.Millisecond }
			standby := func() time.Duration {
				if i < candidates {
					return 0
				}
				return time.Second + spread()*time.Duration(i)/instances
			}
			// The members are read before an election.
			delay := func(ctx context.Context) time.Duration {
				_, _ = store.List(ctx, "egretring/members/")
				return time.Duration(i) * time.Millisecond / 3
			}
			go elector.New(store, self, runOwner, timekeeper.WallClock{}, slog.New(slog.NewTextHandler(io.Discard, nil)),
				elector.WithSpread(spread), elector.WithStandby(standby),
				elector.WithDelay(delay), elector.WithWatchTime(func() time.Duration { return 12 * time.Second }),
			).Run(ctx)
		}
		time.Sleep(10 * time.Second)
		settled := terms.Load()
		require.Positive(t, settled)
		require.LessOrEqual(t, settled, int64(3))
		time.Sleep(20 * time.Second)
		require.Equal(t, settled, terms.Load())

		store.DeleteKey(elector.OwnerKey)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, terms.Load(), settled+2)
		require.Greater(t, terms.Load(), settled)
	})
}
