package keeper_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// TestHealthFollowsStore guards against a store that counts as failing although it serves calls, or the other way round.
func TestHealthFollowsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health := keeper.NewHealth(slog.New(slog.NewTextHandler(io.Discard, nil)))
		store := fakekeeper.NewTransactional()
		monitored := keeper.Monitor(store, health)
		call := func(ctx context.Context) { _, _ = monitored.Get(ctx, "a") }
		call(t.Context())
		require.Zero(t, health.FailingFor())

		for _, faults := range []fakekeeper.Faults{{Down: true}, {Refuse: true}} {
			store.SetFaults(faults)
			call(t.Context())
			time.Sleep(time.Second)
			call(t.Context())
			require.GreaterOrEqual(t, health.FailingFor(), time.Second)
			store.SetFaults(fakekeeper.Faults{})
			// A conflict, an expired lease and a watch without a change are responses, too.
			_, err := monitored.Commit(t.Context(), keeper.Transaction{Conditions: []keeper.Condition{{Key: "a", Revision: 99}}})
			require.ErrorIs(t, err, keeper.ErrConflict)
			require.Zero(t, health.FailingFor())
		}

		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		store.SetFaults(fakekeeper.Faults{Delay: time.Second})
		call(cancelled)
		require.Zero(t, health.FailingFor(), "a cancelled call says nothing about the store")
	})
}
