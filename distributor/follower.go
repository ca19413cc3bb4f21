package distributor

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// follower reads and watches the tickets in the store and applies them to the journal.
type follower struct {
	ticketLog *ticketLog
	backoff   backoff
	log       *slog.Logger
	// failed is closed after the first failure to read or watch the store.
	failed   chan struct{}
	failOnce sync.Once
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.ticketLog.resync(ctx)
		if err != nil {
			f.fail(ctx, "could not read tickets from the store; trying again", err)
			continue
		}
		f.backoff.reset()
		f.ticketLog.holder.markReady()
		f.follow(ctx, revision)
	}
	return nil
}

// follow watches the tickets after a revision. It returns when the tickets must be read from the store again: because
// the store has compacted the revision, or because a ticket does not follow the last applied one.
func (f *follower) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		changes, err := f.ticketLog.store.watch(ctx, revision)
		if errors.Is(err, keeper.ErrCompacted) {
			return
		}
		if err == nil {
			err = f.apply(ctx, changes, changes.Revision == revision)
		}
		if ticketer.IsErrGap(err) || ticketer.IsErrFork(err) {
			f.log.WarnContext(ctx, "gap or fork in the watched tickets; reading all tickets again", "Error", err.Error())
			return
		}
		if err != nil {
			f.fail(ctx, "could not watch tickets in the store; trying again", err)
			continue
		}
		f.backoff.reset()
		revision = changes.Revision
	}
}

// apply applies the changes of a watch. After a watch without changes (idle) it reads the next ticket instead, to
// detect a store that does not respond and a change that the watch missed.
func (f *follower) apply(ctx context.Context, changes keeper.Changes, idle bool) error {
	if idle {
		return f.probe(ctx)
	}
	tickets := make([]ticketer.AcceptedTicket, 0, len(changes.Changes))
	for _, change := range changes.Changes {
		if change.Deleted {
			continue
		}
		record, err := decodeTicket(change.Entry)
		if err != nil {
			return err
		}
		tickets = append(tickets, record)
	}
	return f.ticketLog.holder.update(func(j journal) (journal, error) { return j.withAll(tickets) })
}

// probe reads the ticket after the last applied one and applies it if it exists.
func (f *follower) probe(ctx context.Context) error {
	current, _ := f.ticketLog.holder.current()
	record, inSequence, err := f.ticketLog.fetch(ctx, current.state.Applied()+1)
	if err != nil || record.Number == 0 {
		return err
	}
	if !inSequence {
		return errors.Wrap(ticketer.ErrFork, "ticket does not belong to the sequence")
	}
	return f.ticketLog.holder.update(func(j journal) (journal, error) { return j.with(record) })
}

// fail logs the first of consecutive failures and waits before the next attempt.
func (f *follower) fail(ctx context.Context, message string, err error) {
	f.failOnce.Do(func() { close(f.failed) })
	if ctx.Err() != nil {
		return
	}
	if f.backoff.attempt == 0 {
		f.log.WarnContext(ctx, message, "Error", err.Error())
	}
	f.backoff.wait(ctx)
}
