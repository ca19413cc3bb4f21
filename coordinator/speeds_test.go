package coordinator

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/timekeeper"
)

// TestSpeedsPassThroughStore guards against speeds of servers that the next owner cannot read, and against an entry of another writer that
// keeps an owner from beginning.
func TestSpeedsPassThroughStore(t *testing.T) {
	ctx := t.Context()
	store := fakekeeper.NewTransactional()
	ownership := elector.Ownership{Owner: elector.Owner{Instance: "a"}}
	var err error
	ownership.Epoch, err = store.Commit(ctx, keeper.Transaction{Writes: []keeper.Write{{Key: elector.OwnerKey, Value: []byte("{}")}}})
	require.NoError(t, err)
	newOwner := func() *owner {
		s := settings{store: store, clock: timekeeper.WallClock{}, logger: slog.New(slog.DiscardHandler), meter: meter.New()}
		return &owner{Coordinator: &Coordinator{settings: s}, ownership: ownership, events: make(chan queuedEvent, 1), done: ctx.Done()}
	}
	o := newOwner()
	o.readSpeeds(ctx)
	require.Empty(t, o.events, "nothing is stored")
	speeds := []conductor.ServerSpeed{{Server: "i-1", Incarnation: 7, Factor: 1.5}}
	o.recordSpeeds(ctx, conductor.RecordSpeeds{Speeds: speeds})
	o.readSpeeds(ctx)
	require.Equal(t, conductor.SpeedsRead{Speeds: speeds}, (<-o.events).event)
	_, err = store.Commit(ctx, keeper.Transaction{Writes: []keeper.Write{{Key: speedsKey, Value: []byte("[{")}}})
	require.NoError(t, err)
	o.readSpeeds(ctx)
	require.Empty(t, o.events)
	// A former owner stores nothing any more.
	o.ownership.Epoch--
	o.recordSpeeds(ctx, conductor.RecordSpeeds{Speeds: speeds})
	o.readSpeeds(ctx)
	require.Empty(t, o.events)
}
