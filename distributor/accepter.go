package distributor

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/ticketer"
)

// waitingCapacity is the maximum number of tickets queued in one instance, for example while the store is unreachable.
const waitingCapacity = 256

// errStopped is the cause of the error that Accept returns when the instance stops while a ticket waits.
var errStopped = errors.New("this instance is stopping")

// WaitingTicket describes a ticket that waits to be accepted.
type WaitingTicket struct {
	ID    string
	Since time.Time
	// Attempts counts the steps executed against the store for this ticket.
	Attempts int
}

// pending is a proposal with the context of its caller, who waits for its final step on results.
type pending struct {
	ctx      context.Context
	proposal *proposal
	waiting  WaitingTicket
	results  chan step
}

// accepter writes tickets to the store, one at a time, so that the tickets of one instance do not compete for the same
// number.
type accepter struct {
	ticketLog *ticketLog
	backoff   backoff
	queue     *buffer.Queue[*pending]
	log       *slog.Logger
	// stopped is closed when run returns; no ticket is accepted after that.
	stopped chan struct{}

	mu      sync.Mutex
	waiting []*pending
}

// submit queues a proposal and waits for its result, until the context ends or the accepter stops.
func (a *accepter) submit(ctx context.Context, p *proposal) (int64, error) {
	one := &pending{
		ctx:      ctx,
		proposal: p,
		waiting:  WaitingTicket{ID: p.ticket.ID, Since: time.Now()},
		results:  make(chan step, 1),
	}
	a.add(one)
	defer a.drop(one)
	if err := a.queue.Offer(one); err != nil {
		return 0, classifier.Wrap(err, classifier.QueueFull, "%d tickets already wait in this instance", waitingCapacity)
	}
	select {
	case result := <-one.results:
		return result.number, result.err
	case <-ctx.Done():
		return 0, outcomeUnknown(ctx.Err(), p)
	case <-a.stopped:
		return 0, outcomeUnknown(errStopped, p)
	}
}

// outcomeUnknown returns the error for a ticket that may or may not have been accepted.
func outcomeUnknown(cause error, p *proposal) error {
	return classifier.Wrap(cause, classifier.StoreUnavailable,
		"ticket %q was not accepted in time and may still be; apply it again with the same ID to find out", p.ticket.ID)
}

func (a *accepter) run(ctx context.Context) error {
	defer close(a.stopped)
	for {
		select {
		case one := <-a.queue.Items():
			a.runProposal(ctx, one)
		case <-ctx.Done():
			return nil
		}
	}
}

// runProposal executes the steps of a proposal until it is accepted or refused, its caller's context ends or the
// instance stops. Its context derives from the caller's, so that a queued ticket whose caller no longer waits is not
// written.
func (a *accepter) runProposal(stopping context.Context, one *pending) {
	ctx, cancel := context.WithCancel(one.ctx)
	defer cancel()
	stop := context.AfterFunc(stopping, cancel)
	defer stop()
	a.backoff.reset()
	for ctx.Err() == nil {
		current, _ := a.ticketLog.holder.current()
		next := one.proposal.plan(current, time.Now())
		if next.done {
			a.log.InfoContext(ctx, "ticket accepted or refused", "ID", one.waiting.ID, "Number", next.number, "Error", next.err)
			one.results <- next
			return
		}
		a.countAttempt(one)
		if err := a.ticketLog.execute(ctx, one.proposal, next); err != nil {
			a.backoff.wait(ctx)
			continue
		}
		a.backoff.reset()
	}
}

func (a *accepter) add(one *pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, one)
}

func (a *accepter) drop(one *pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(other *pending) bool { return other == one })
}

func (a *accepter) countAttempt(one *pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one.waiting.Attempts++
}

func (a *accepter) list() []WaitingTicket {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]WaitingTicket, len(a.waiting))
	for i, one := range a.waiting {
		list[i] = one.waiting
	}
	return list
}

func (a *accepter) newProposal(ticket ticketer.Ticket, options *options) *proposal {
	return &proposal{ticket: ticket, writeID: options.nonce(), acceptedBy: options.instance}
}
