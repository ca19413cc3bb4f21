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
	// compactionSpread bounds the random delay after which an instance checks for a missing snapshot, so that normally
	// one instance writes the snapshot and the others find it.
	compactionSpread = 30 * time.Second
	// deletionInterval limits the deletions to 20 a second, a small part of the store's writes.
	deletionInterval = 50 * time.Millisecond
)

// compacter writes snapshots to the store and deletes the tickets and snapshots that are no longer needed.
type compacter struct {
	ticketLog *ticketLog
	nonce     func() string
	random    *rand.Rand
	backoff   backoff
	log       *slog.Logger
	// interval is the time between two deletions.
	interval time.Duration
}

// run waits for new checkpoints of the journal and compacts up to the latest one after a random delay.
func (c *compacter) run(ctx context.Context) error {
	changes := c.ticketLog.holder.subscribe()
	defer changes.Close()
	var done int64
	for ctx.Err() == nil {
		select {
		case <-changes.States():
		case <-ctx.Done():
			return nil
		}
		current, _ := c.ticketLog.holder.current()
		if current.checkpoint.Applied() <= done {
			continue
		}
		timekeeper.Sleep(ctx, time.Duration(c.random.Int64N(int64(compactionSpread))))
		done = c.compactUntilDone(ctx)
	}
	return nil
}

// compactUntilDone retries until the latest checkpoint is compacted and returns its number, or 0 if the context ended.
func (c *compacter) compactUntilDone(ctx context.Context) int64 {
	c.backoff.reset()
	for ctx.Err() == nil {
		current, _ := c.ticketLog.holder.current()
		err := c.compact(ctx, current)
		if err == nil {
			return current.checkpoint.Applied()
		}
		c.log.DebugContext(ctx, "could not compact tickets", "Error", err.Error())
		c.backoff.wait(ctx)
	}
	return 0
}

// compact writes the snapshot of the checkpoint and then deletes the tickets and snapshots that it replaces. It does
// neither if another instance has already written the snapshot.
func (c *compacter) compact(ctx context.Context, current journal) error {
	checkpoint := current.checkpoint.Applied()
	entry, err := c.ticketLog.store.get(ctx, partKey(checkpoint, 0))
	if err != nil || entry.Version > 0 {
		return err
	}
	if err := c.write(ctx, current.checkpoint.Snapshot()); err != nil {
		return err
	}
	return c.clean(ctx, checkpoint, current)
}

// write writes the parts of a snapshot. The first part is written last, so that its presence means that the snapshot is
// complete.
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
		err = c.ticketLog.store.create(ctx, partKey(parts[i].Number, i), value)
		if err != nil && !keeper.IsErrConflict(err) {
			return err
		}
	}
	return nil
}

// clean deletes the tickets that the retention no longer keeps, in ascending order, and all snapshots but the last two.
func (c *compacter) clean(ctx context.Context, checkpoint int64, current journal) error {
	snapshots, err := c.ticketLog.store.list(ctx, snapshotsPrefix)
	if err != nil {
		return err
	}
	if latest, ok := latestSnapshot(snapshots.Entries); !ok || latest.Applied < checkpoint {
		return errors.Errorf("snapshot %d is not complete", checkpoint)
	}
	tickets, err := c.ticketLog.store.list(ctx, ticketsPrefix)
	if err != nil {
		return err
	}
	if err := c.deleteBefore(ctx, tickets.Entries, ticketKey(current.oldestKept())); err != nil {
		return err
	}
	return c.deleteBefore(ctx, snapshots.Entries, partKey(checkpoint-current.retention.interval, 0))
}

// deleteBefore deletes the entries whose key sorts before end. An entry that another instance has already deleted is
// skipped.
func (c *compacter) deleteBefore(ctx context.Context, entries []keeper.Entry, end string) error {
	for _, entry := range entries {
		if entry.Key >= end {
			return nil
		}
		err := c.ticketLog.store.remove(ctx, entry.Key, entry.Version)
		if err != nil && !keeper.IsErrConflict(err) {
			return err
		}
		timekeeper.Sleep(ctx, c.interval)
	}
	return nil
}
