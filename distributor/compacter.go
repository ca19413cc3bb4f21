package distributor

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/timekeeper"
)

const (
	// compactionSpread is the time over which the instances look for a missing snapshot, so that normally one of
	// them writes it and the others find it.
	compactionSpread = 30 * time.Second
	// deletionInterval limits the deletions to 20 a second, a small part of the store's writes.
	deletionInterval = 50 * time.Millisecond
)

// compacter writes snapshots and deletes old tickets.
type compacter struct {
	session *session
	nonce   func() string
	random  *rand.Rand
	backoff backoff
	log     *slog.Logger
	// interval is the time between two deletions.
	interval time.Duration
}

func (c *compacter) run(ctx context.Context) error {
	changes := c.session.holder.subscribe()
	defer changes.Close()
	var done int64
	for ctx.Err() == nil {
		select {
		case <-changes.States():
		case <-ctx.Done():
			return nil
		}
		current, _ := c.session.holder.current()
		if current.mark.Applied() <= done {
			continue
		}
		timekeeper.Sleep(ctx, time.Duration(c.random.Int64N(int64(compactionSpread))))
		done = c.compactUntilDone(ctx)
	}
	return nil
}

// compactUntilDone compacts up to the latest mark and returns its number.
func (c *compacter) compactUntilDone(ctx context.Context) int64 {
	c.backoff.reset()
	for ctx.Err() == nil {
		current, _ := c.session.holder.current()
		err := c.compact(ctx, current)
		if err == nil {
			return current.mark.Applied()
		}
		c.log.DebugContext(ctx, "could not compact tickets", "Error", err.Error())
		c.backoff.wait(ctx)
	}
	return 0
}

// compact writes the snapshot at the mark, unless another instance has written it, and then deletes what it replaces.
func (c *compacter) compact(ctx context.Context, current journal) error {
	mark := current.mark.Applied()
	entry, err := c.session.store.get(ctx, partKey(mark, 0))
	if err != nil || entry.Version > 0 {
		return err
	}
	if err := c.write(ctx, current.mark.Snapshot()); err != nil {
		return err
	}
	return c.clean(ctx, mark, current)
}

// write writes the first part last, so that its presence means that the snapshot is complete.
func (c *compacter) write(ctx context.Context, snapshot ticketer.Snapshot) error {
	parts, err := partsOf(snapshot, c.nonce())
	if err != nil {
		return err
	}
	for i := len(parts) - 1; i >= 0; i-- {
		value, err := json.Marshal(parts[i])
		if err != nil {
			return errors.Wrap(err, "encode snapshot part")
		}
		err = c.session.store.create(ctx, partKey(parts[i].Number, i), value)
		if err != nil && !keeper.IsErrConflict(err) {
			return err
		}
	}
	return nil
}

// clean deletes old tickets in ascending order, and the snapshots before the last two.
func (c *compacter) clean(ctx context.Context, mark int64, current journal) error {
	snapshots, err := c.session.store.list(ctx, snapshotsPrefix)
	if err != nil {
		return err
	}
	if latest, ok := latestSnapshot(snapshots.Entries); !ok || latest.Applied < mark {
		return errors.Errorf("snapshot %d is not complete", mark)
	}
	tickets, err := c.session.store.list(ctx, ticketsPrefix)
	if err != nil {
		return err
	}
	if err := c.deleteBefore(ctx, tickets.Entries, ticketKey(current.oldestKept())); err != nil {
		return err
	}
	return c.deleteBefore(ctx, snapshots.Entries, partKey(mark-current.retention.interval, 0))
}

// deleteBefore deletes the entries whose key sorts before a key. A key that another instance has deleted is skipped.
func (c *compacter) deleteBefore(ctx context.Context, entries []keeper.Entry, end string) error {
	for _, entry := range entries {
		if entry.Key >= end {
			return nil
		}
		err := c.session.store.remove(ctx, entry.Key, entry.Version)
		if err != nil && !keeper.IsErrConflict(err) {
			return err
		}
		timekeeper.Sleep(ctx, c.interval)
	}
	return nil
}
