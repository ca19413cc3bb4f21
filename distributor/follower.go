package distributor

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// follower applies the tickets of the store to the journal.
type follower struct {
	session *session
	backoff backoff
	log     *slog.Logger
	// failed is closed at the first failure to read the store.
	failed   chan struct{}
	failOnce sync.Once
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.session.resync(ctx)
		if err != nil {
			f.fail(ctx, "could not read tickets from the store; trying again", err)
			continue
		}
		f.backoff.reset()
		f.session.holder.markReady()
		f.follow(ctx, revision)
	}
	return nil
}

// follow watches the tickets until the journal no longer continues.
func (f *follower) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		changes, err := f.session.store.watch(ctx, revision)
		if errors.Is(err, keeper.ErrCompacted) {
			return
		}
		if err == nil {
			err = f.apply(ctx, changes, changes.Revision == revision)
		}
		if ticketer.IsErrGap(err) || ticketer.IsErrFork(err) {
			f.log.WarnContext(ctx, "tickets are read from the store again", "Error", err.Error())
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

// apply applies the changes of a watch. A watch that ended without changes is followed by a read of the next ticket,
// which finds out whether the store still answers and whether the watch missed a change.
func (f *follower) apply(ctx context.Context, changes keeper.Changes, idle bool) error {
	if idle {
		return f.probe(ctx)
	}
	tickets := make([]ticketer.Numbered, 0, len(changes.Changes))
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
	return f.session.holder.update(func(j journal) (journal, error) { return j.withAll(tickets) })
}

func (f *follower) probe(ctx context.Context) error {
	current, _ := f.session.holder.current()
	record, genuine, err := f.session.fetch(ctx, current.state.Applied()+1)
	if err != nil || record.Number == 0 {
		return err
	}
	if !genuine {
		return errors.Wrap(ticketer.ErrFork, "ticket does not belong to the sequence")
	}
	return f.session.holder.update(func(j journal) (journal, error) { return j.with(record) })
}

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
