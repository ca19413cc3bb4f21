package intaker

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

const (
	// writers is the maximum number of concurrent transactions.
	writers = 4
	// extraWriterAfter is how long a write may take before another one starts concurrently. Submissions that arrive
	// until then share the next write, because each call to the store has a cost; a healthy store responds within ten
	// milliseconds.
	extraWriterAfter = 15 * time.Millisecond
	// submissionQueueSize bounds the submissions that wait for a writer.
	submissionQueueSize = 1024
	// retryInterval is the pause before a failed transaction is retried.
	retryInterval = 60 * time.Millisecond
	// maxRefusalTime is how long a transaction that the store refuses is retried before its submissions are refused.
	maxRefusalTime = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which refused callers should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// lastAttemptTime is the time left to a caller in which it cannot come back after minRetryAfter. Its submission waits for the
	// store for half of that time.
	lastAttemptTime = minRetryAfter + 100*time.Millisecond
	// checkInterval is how often a submission that waits is checked.
	checkInterval = 100 * time.Millisecond
	// failFastAfter is how long the store must have refused calls, or not responded to them, before submissions are
	// refused immediately.
	failFastAfter = 700 * time.Millisecond
	// suspectAfter is how long the store must have failed before no further submissions are sent to it. What was not sent can
	// be refused with a certain outcome.
	suspectAfter = 250 * time.Millisecond
	// probeInterval is the pause between two reads that find out whether a failing store serves calls again, and probeTimeout
	// bounds each of them.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// Intaker stores submitted jobs and cancellations.
type Intaker struct {
	store keeper.TransactionalStore
	queue *buffer.Queue[*submission]
	tomb  tomb.Tomb
	// writerToken holds one token. The writer that receives it takes the queued submissions.
	writerToken chan struct{}
	// commitTimeout bounds the wait for the store's responses.
	commitTimeout keeper.AdaptiveTimeout
	// health may be shared with other users of the store.
	health *keeper.Health
	// others is nil unless jobs of teams may be in other shards.
	others *OtherShards
	// largest is the most entries of a transaction that a submission has taken. A larger one may follow unnoticed; the store then
	// refuses the batch, and its submissions are written alone.
	largest atomic.Int64
}

// Option configures an Intaker.
type Option func(*Intaker)

// WithHealth makes the intaker share what is known of the store with other users of it.
func WithHealth(health *keeper.Health) Option {
	return func(i *Intaker) { i.health = health }
}

// New returns an intaker that runs until Close.
func New(store keeper.TransactionalStore, logger *slog.Logger, options ...Option) *Intaker {
	i := &Intaker{
		store: store, queue: buffer.NewQueue[*submission](submissionQueueSize), writerToken: make(chan struct{}, 1),
		health: keeper.NewHealth(logger),
	}
	for _, option := range options {
		option(i)
	}
	i.writerToken <- struct{}{}
	for range writers {
		i.tomb.Go(i.run)
	}
	return i
}

// Close stops the writers; submissions that are not confirmed yet end with an unknown outcome.
func (i *Intaker) Close() error {
	i.tomb.Kill(nil)
	return i.tomb.Wait()
}

// Accept stores a job. After an error with outcome NotRun the job is not stored and never will be; after another error
// it may be. A job whose ID is stored already is accepted as the same job. While the store does not serve this instance, a
// caller that has time for another attempt is refused, and one that has not waits for half of its time.
func (i *Intaker) Accept(ctx context.Context, job specifier.Job) error {
	return i.AcceptFenced(ctx, job, Fence{})
}

// AcceptFenced stores a job as Accept does if a fence holds, and returns a FenceMovedError otherwise.
func (i *Intaker) AcceptFenced(ctx context.Context, job specifier.Job, fence Fence) error {
	value, err := json.Marshal(job)
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "encode job %s", job.ID)
	}
	if len(value) > keeper.MaxValueBytes {
		return classifier.New(classifier.BadRequest, "job %s has %d bytes; at most %d can be stored", job.ID, len(value), keeper.MaxValueBytes)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return classifier.New(classifier.BadDeadline, "submission of job %s has no deadline", job.ID)
	}
	if !i.Reachable() && time.Until(deadline) > lastAttemptTime {
		return i.refusal(job.ID, deadline)
	}
	s := &submission{job: job, value: value, keys: i.keysOf(job), fence: fence, deadline: deadline, done: make(chan error, 1)}
	i.noteEntries(s.entries())
	if i.queue.Offer(s) != nil {
		return classifier.New(classifier.QueueFull, "%d submissions wait for the store", submissionQueueSize)
	}
	return i.await(ctx, s)
}

// await waits until a submission is stored or refused. It withdraws one that was not sent yet when the store does not serve
// this instance and its caller can come back, or when the caller's time ends.
func (i *Intaker) await(ctx context.Context, s *submission) error {
	checks := time.NewTicker(checkInterval)
	defer checks.Stop()
	patienceEnd := time.Now().Add(time.Until(s.deadline) / 2)
	for {
		select {
		case err := <-s.done:
			return err
		case <-checks.C:
			canReturn := time.Until(s.deadline) > lastAttemptTime || time.Now().After(patienceEnd)
			if !i.Reachable() && canReturn && s.withdraw() {
				return i.refusal(s.job.ID, s.deadline)
			}
		case <-ctx.Done():
			return i.abandon(s, "store did not confirm job %s in time")
		case <-i.tomb.Dying():
			return i.abandon(s, "instance stops before the store confirmed job %s")
		}
	}
}

// abandon returns the error for a submission that is no longer waited for.
func (i *Intaker) abandon(s *submission, format string) error {
	if s.withdraw() {
		return i.refusal(s.job.ID, s.deadline)
	}
	return classifier.New(classifier.OutcomeUnknown, format, s.job.ID)
}

// refusal returns the error for a submission that was not sent to the store.
func (i *Intaker) refusal(id specifier.JobID, deadline time.Time) error {
	return classifier.New(classifier.Overloaded, "store does not answer; job %s was not accepted", id).WithRetryAt(i.retryAt(deadline))
}

// Cancel stores the cancellation of a job. It reports whether the caller has such a job.
func (i *Intaker) Cancel(ctx context.Context, caller specifier.Caller, id specifier.JobID) (bool, error) {
	entry, err := i.store.Get(ctx, JobKey(id))
	if err != nil {
		return false, classifier.Wrap(err, classifier.StoreUnavailable, "read job %s", id)
	}
	if entry.Revision == 0 {
		return i.hasRecord(ctx, caller, id)
	}
	if owned, err := owns(caller, entry.Value); !owned {
		return false, err
	}
	for {
		_, err = i.store.Commit(ctx, keeper.Transaction{Writes: []keeper.Write{{Key: CancelKey(id), Value: []byte("{}")}}})
		if err == nil {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return true, classifier.Wrap(err, classifier.StoreUnavailable, "store cancellation of job %s", id)
		case <-time.After(retryInterval):
		}
	}
}

// hasRecord reports whether there is a record of a caller's job. A finished job has one although its submission is deleted.
func (i *Intaker) hasRecord(ctx context.Context, caller specifier.Caller, id specifier.JobID) (bool, error) {
	entry, err := i.store.Get(ctx, StateKey(id))
	if err != nil {
		return false, classifier.Wrap(err, classifier.StoreUnavailable, "read state of job %s", id)
	}
	if entry.Revision == 0 {
		return false, nil
	}
	return owns(caller, entry.Value)
}

// Reachable reports whether the store serves this instance: it is false once calls have been refused, or have got no
// response, for failFastAfter, until a call is served.
func (i *Intaker) Reachable() bool {
	return i.health.FailingFor() < failFastAfter
}

// Failing reports whether the last call to the store was refused or got no response.
func (i *Intaker) Failing() bool {
	return i.health.FailingFor() > 0
}

// retryAt returns when refused callers should retry. The wait is as long as the store has been failing so far, within
// the bounds, so that the few attempts of a caller last longer than an outage, but leaves time for one more attempt
// before the caller's deadline.
func (i *Intaker) retryAt(deadline time.Time) time.Time {
	wait := min(i.health.FailingFor(), maxRetryAfter)
	if left := time.Until(deadline); left > 0 {
		wait = min(wait, left-minRetryAfter)
	}
	return time.Now().Add(max(wait, minRetryAfter))
}

// RecordStoreCall records whether the store served a call of another user of it.
func (i *Intaker) RecordStoreCall(served bool) {
	i.health.Record(served)
}

func (i *Intaker) run() error {
	for {
		select {
		case <-i.writerToken:
		case <-i.tomb.Dying():
			return nil
		}
		select {
		case first := <-i.queue.Items():
			i.awaitStore()
			i.writeWithToken(i.gather(first))
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// awaitStore returns once the store does not fail, or has failed for less than suspectAfter. Its reads may be stale, so that those
// of many instances do not exceed the rate limit.
func (i *Intaker) awaitStore() {
	ctx := i.tomb.Context(context.Background())
	for i.health.FailingFor() >= suspectAfter && ctx.Err() == nil {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := i.store.Get(keeper.AllowStale(probe), ProbeKey)
		cancel()
		i.health.Record(err == nil)
		if err != nil {
			timekeeper.Sleep(ctx, probeInterval)
		}
	}
}

// writeWithToken writes a batch. It returns the writer token when the write ends, or after extraWriterAfter if that is
// earlier.
func (i *Intaker) writeWithToken(batch []*submission) {
	returnToken := func() { i.writerToken <- struct{}{} }
	timer := time.AfterFunc(extraWriterAfter, returnToken)
	for len(batch) > 0 {
		var group []*submission
		group, batch = firstGroup(batch)
		i.write(group)
		batch = withoutExpired(batch)
	}
	if timer.Stop() {
		returnToken()
	}
}

// write tries to store a batch until its outcome is known, the store has refused it for maxRefusalTime, or no caller waits any
// more.
func (i *Intaker) write(batch []*submission) {
	ctx := i.tomb.Context(context.Background())
	startedAt := time.Now()
	unconfirmed := false
	for attempt := 0; len(batch) > 0; attempt++ {
		_, err := i.commitTimeout.Commit(ctx, i.store, transactionOf(batch), attempt)
		i.RecordStoreCall(err == nil || errors.Is(err, keeper.ErrConflict) || keeper.IsErrInvalid(err))
		var conflict *keeper.ConflictError
		switch {
		case err == nil:
			i.complete(batch)
			return
		case errors.As(err, &conflict):
			batch = rejectMoved(i.confirmStored(batch, conflict), conflict)
			continue
		case keeper.IsErrInvalid(err):
			i.writeAlone(batch, err)
			return
		case keeper.IsErrNoEffect(err):
			if !unconfirmed && time.Since(startedAt) > maxRefusalTime {
				batch = i.refuse(batch)
			}
		default:
			unconfirmed = true
		}
		batch = withoutExpired(batch)
		select {
		case <-time.After(retryInterval):
		case <-i.tomb.Dying():
			return
		}
	}
}

// writeAlone stores the submissions of a batch that the store does not accept one by one, and refuses a single one.
func (i *Intaker) writeAlone(batch []*submission, err error) {
	if len(batch) > 1 {
		for _, s := range batch {
			i.write([]*submission{s})
		}
		return
	}
	for _, s := range batch {
		s.done <- classifier.Wrap(err, classifier.BadRequest, "job %s of %d bytes cannot be stored", s.job.ID, len(s.value))
	}
}

// refuse refuses the submissions of a batch without effect whose callers can come back, and returns the others.
func (i *Intaker) refuse(batch []*submission) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if time.Until(s.deadline) > lastAttemptTime {
			s.done <- i.refusal(s.job.ID, s.deadline)
			continue
		}
		remaining = append(remaining, s)
	}
	return remaining
}
