package intaker

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

const (
	// writers is the maximum number of concurrent transactions.
	writers = 4
	// batchSize bounds the jobs of a transaction; each takes two conditions and a write.
	batchSize = keeper.MaxTransactionEntries / 3
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
	// failFastAfter is how long the store must have refused calls, or not responded to them, before submissions are
	// refused immediately.
	failFastAfter = 700 * time.Millisecond
)

// Intaker stores submitted jobs and cancellations.
type Intaker struct {
	store  keeper.TransactionalStore
	queue  *buffer.Queue[*submission]
	logger *slog.Logger
	tomb   tomb.Tomb
	// writerToken holds one token. The writer that receives it takes the queued submissions.
	writerToken chan struct{}
	// commitTimeout bounds the wait for the store's responses.
	commitTimeout keeper.AdaptiveTimeout

	mu sync.Mutex
	// failingSince is when calls to the store began to be refused or to get no response; zero while the store serves
	// them.
	failingSince time.Time
}

type submission struct {
	job   specifier.Job
	value []byte
	// deadline is when the caller stops waiting.
	deadline time.Time
	done     chan error
}

// New returns an intaker that runs until Close.
func New(store keeper.TransactionalStore, logger *slog.Logger) *Intaker {
	i := &Intaker{
		store: store, queue: buffer.NewQueue[*submission](submissionQueueSize), logger: logger,
		writerToken: make(chan struct{}, 1),
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
// it may be. A job whose ID is stored already is accepted as the same job.
func (i *Intaker) Accept(ctx context.Context, job specifier.Job) error {
	value, err := json.Marshal(job)
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "encode job %s", job.ID)
	}
	if !i.Reachable() {
		return classifier.New(classifier.Overloaded, "store does not answer; job %s was not accepted", job.ID).
			WithRetryAt(i.retryAt())
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return classifier.New(classifier.BadDeadline, "submission of job %s has no deadline", job.ID)
	}
	s := &submission{job: job, value: value, deadline: deadline, done: make(chan error, 1)}
	if i.queue.Offer(s) != nil {
		return classifier.New(classifier.QueueFull, "%d submissions wait for the store", submissionQueueSize)
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return classifier.New(classifier.OutcomeUnknown, "store did not confirm job %s in time", job.ID)
	case <-i.tomb.Dying():
		return classifier.New(classifier.OutcomeUnknown, "instance stops before the store confirmed job %s", job.ID)
	}
}

// Cancel stores the cancellation of a job. It reports whether there is such a job.
func (i *Intaker) Cancel(ctx context.Context, id specifier.JobID) (bool, error) {
	entry, err := i.store.Get(ctx, JobKey(id))
	if err != nil {
		return false, classifier.Wrap(err, classifier.StoreUnavailable, "read job %s", id)
	}
	if entry.Revision == 0 {
		return i.hasRecord(ctx, id)
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

// hasRecord reports whether there is a record of a job. A finished job has one although its submission is deleted.
func (i *Intaker) hasRecord(ctx context.Context, id specifier.JobID) (bool, error) {
	entry, err := i.store.Get(ctx, StateKey(id))
	if err != nil {
		return false, classifier.Wrap(err, classifier.StoreUnavailable, "read state of job %s", id)
	}
	return entry.Revision != 0, nil
}

// Reachable reports whether the store serves this instance: it is false once calls have been refused, or have got no
// response, for failFastAfter. Submissions are then refused immediately, until RecordStoreCall reports a served call.
func (i *Intaker) Reachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failingSince.IsZero() || time.Since(i.failingSince) < failFastAfter
}

// retryAt returns when refused callers should retry. The wait is as long as the store has been failing so far, within
// the bounds, so that the few attempts of a caller last longer than an outage.
func (i *Intaker) retryAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	wait := minRetryAfter
	if !i.failingSince.IsZero() {
		wait = min(max(time.Since(i.failingSince), minRetryAfter), maxRetryAfter)
	}
	return time.Now().Add(wait)
}

// RecordStoreCall records whether the store served a call; it did not if it refused the call or did not respond. Other
// users of the store report their calls, too.
func (i *Intaker) RecordStoreCall(served bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case served:
		if !i.failingSince.IsZero() && time.Since(i.failingSince) >= failFastAfter {
			i.logger.Info("store answers again", "FailingSince", i.failingSince)
		}
		i.failingSince = time.Time{}
	case i.failingSince.IsZero():
		i.failingSince = time.Now()
		i.logger.Warn("store gave no answer")
	}
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
			i.writeWithToken(i.gather(first))
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// writeWithToken writes a batch. It returns the writer token when the write ends, or after extraWriterAfter if that is
// earlier.
func (i *Intaker) writeWithToken(batch []*submission) {
	returnToken := func() { i.writerToken <- struct{}{} }
	timer := time.AfterFunc(extraWriterAfter, returnToken)
	i.write(batch)
	if timer.Stop() {
		returnToken()
	}
}

// gather returns the first submission and those that are queued behind it, up to the size of a batch.
func (i *Intaker) gather(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < batchSize {
		select {
		case next := <-i.queue.Items():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// write tries to store a batch until its outcome is known, the store has refused it for maxRefusalTime, the store no
// longer responds, or no caller waits any more.
func (i *Intaker) write(batch []*submission) {
	ctx := i.tomb.Context(context.Background())
	startedAt := time.Now()
	unconfirmed := false
	for attempt := 0; len(batch) > 0; attempt++ {
		_, err := i.commitTimeout.Commit(ctx, i.store, transactionOf(batch), attempt)
		i.RecordStoreCall(err == nil || errors.Is(err, keeper.ErrConflict))
		var conflict *keeper.ConflictError
		switch {
		case err == nil:
			complete(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = confirmStored(batch, conflict)
			continue
		case keeper.IsErrNoEffect(err):
			if !unconfirmed && time.Since(startedAt) > maxRefusalTime {
				complete(batch, classifier.Wrap(err, classifier.Overloaded, "job was not accepted").WithRetryAt(i.retryAt()))
				return
			}
		default:
			unconfirmed = true
		}
		if unconfirmed && !i.Reachable() {
			// Callers with time left can resubmit to another instance; the job keeps its ID, so that it is not
			// duplicated.
			complete(batch, classifier.Wrap(err, classifier.OutcomeUnknown, "store does not confirm the job"))
			return
		}
		batch = withoutExpired(batch)
		select {
		case <-time.After(retryInterval):
		case <-i.tomb.Dying():
			return
		}
	}
}

func transactionOf(batch []*submission) keeper.Transaction {
	var transaction keeper.Transaction
	seen := make(map[string]bool, len(batch))
	for _, s := range batch {
		key := JobKey(s.job.ID)
		if seen[key] {
			continue
		}
		seen[key] = true
		transaction.Conditions = append(transaction.Conditions,
			keeper.Condition{Key: key}, keeper.Condition{Key: StateKey(s.job.ID)})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: s.value})
	}
	return transaction
}

func complete(batch []*submission, err error) {
	for _, s := range batch {
		s.done <- err
	}
}

// confirmStored confirms the submissions whose jobs are in the store, and returns the others.
func confirmStored(batch []*submission, conflict *keeper.ConflictError) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if conflict.EntryOf(JobKey(s.job.ID)).Revision != 0 || conflict.EntryOf(StateKey(s.job.ID)).Revision != 0 {
			s.done <- nil
			continue
		}
		remaining = append(remaining, s)
	}
	return remaining
}

// withoutExpired drops the submissions whose callers no longer wait.
func withoutExpired(batch []*submission) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if time.Now().Before(s.deadline) {
			remaining = append(remaining, s)
		}
	}
	return remaining
}
