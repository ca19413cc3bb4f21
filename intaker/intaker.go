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
	// writers bounds the transactions at the same time.
	writers = 4
	// batchSize bounds the jobs of a transaction; each takes two conditions and a write.
	batchSize = keeper.MaxTransactionEntries / 3
	// extraWriterAfter is how long a write may take before another one begins beside it. Submissions that arrive meanwhile
	// share the next write, because each call to the store is paid for; a healthy store answers within ten milliseconds.
	extraWriterAfter = 15 * time.Millisecond
	// queuedSubmissions bounds the submissions that wait for a writer.
	queuedSubmissions = 1024
	// retryInterval is the pause before a transaction is tried again.
	retryInterval = 60 * time.Millisecond
	// refusalPatience is how long a store that refuses calls is tried before a submission is refused.
	refusalPatience = 300 * time.Millisecond
	// shortestRetry and longestRetry bound the time after which refused callers are asked to come back.
	shortestRetry = time.Second
	longestRetry  = 4 * time.Second
	// brokenAfter is how long the store must have given no answer before submissions are refused at once.
	brokenAfter = 700 * time.Millisecond
)

// Intaker accepts jobs.
type Intaker struct {
	store  keeper.TransactionalStore
	queue  *buffer.Queue[*submission]
	logger *slog.Logger
	tomb   tomb.Tomb
	// turn has one token: the writer that has it takes the submissions that wait.
	turn chan struct{}
	// patience bounds the wait for the store's answers.
	patience keeper.Patience

	mu sync.Mutex
	// failingSince is when the store began to give no answers; zero while it answers.
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
		store: store, queue: buffer.NewQueue[*submission](queuedSubmissions), logger: logger, turn: make(chan struct{}, 1),
	}
	i.turn <- struct{}{}
	for range writers {
		i.tomb.Go(i.run)
	}
	return i
}

// Close ends the writers.
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
		return classifier.New(classifier.QueueFull, "%d submissions wait for the store", queuedSubmissions)
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
		return i.finished(ctx, id)
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

// finished reports whether there is a record of a job without a submission.
func (i *Intaker) finished(ctx context.Context, id specifier.JobID) (bool, error) {
	entry, err := i.store.Get(ctx, StateKey(id))
	if err != nil {
		return false, classifier.Wrap(err, classifier.StoreUnavailable, "read state of job %s", id)
	}
	return entry.Revision != 0, nil
}

// Reachable reports whether the store answers this instance. Submissions are refused at once while it does not; the
// next Observe of an answered call ends that.
func (i *Intaker) Reachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failingSince.IsZero() || time.Since(i.failingSince) < brokenAfter
}

// retryAt returns when refused callers should come back: after as long again as the store has been failing, so that the
// few attempts that callers have outlast an outage.
func (i *Intaker) retryAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	wait := shortestRetry
	if !i.failingSince.IsZero() {
		wait = min(max(time.Since(i.failingSince), shortestRetry), longestRetry)
	}
	return time.Now().Add(wait)
}

// Observe notes whether a call to the store was answered. Other users of the store report their calls, too.
func (i *Intaker) Observe(answered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case answered:
		if !i.failingSince.IsZero() && time.Since(i.failingSince) >= brokenAfter {
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
		case <-i.turn:
		case <-i.tomb.Dying():
			return nil
		}
		select {
		case first := <-i.queue.Items():
			i.writeInTurn(i.gather(first))
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// writeInTurn writes a batch and passes the turn on at its end, or earlier when the write takes long.
func (i *Intaker) writeInTurn(batch []*submission) {
	pass := func() { i.turn <- struct{}{} }
	early := time.AfterFunc(extraWriterAfter, pass)
	i.write(batch)
	if early.Stop() {
		pass()
	}
}

// gather takes the submissions that wait behind the first one.
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

// write writes a batch until its outcome is known or no caller waits any more.
func (i *Intaker) write(batch []*submission) {
	ctx := i.tomb.Context(context.Background())
	startedAt := time.Now()
	doubtful := false
	for attempt := 0; len(batch) > 0; attempt++ {
		_, err := i.patience.Commit(ctx, i.store, transactionOf(batch), attempt)
		i.Observe(err == nil || errors.Is(err, keeper.ErrConflict))
		var conflict *keeper.ConflictError
		switch {
		case err == nil:
			finish(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = withoutStored(batch, conflict)
			continue
		case keeper.IsErrNothingDone(err):
			if !doubtful && time.Since(startedAt) > refusalPatience {
				finish(batch, classifier.Wrap(err, classifier.Overloaded, "job was not accepted").WithRetryAt(i.retryAt()))
				return
			}
		default:
			doubtful = true
		}
		if doubtful && !i.Reachable() {
			// Callers with time left submit again at another instance, where it remains one job.
			finish(batch, classifier.Wrap(err, classifier.OutcomeUnknown, "store does not confirm the job"))
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
	named := make(map[string]bool, len(batch))
	for _, s := range batch {
		key := JobKey(s.job.ID)
		if named[key] {
			continue
		}
		named[key] = true
		transaction.Conditions = append(transaction.Conditions,
			keeper.Condition{Key: key}, keeper.Condition{Key: StateKey(s.job.ID)})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: s.value})
	}
	return transaction
}

func finish(batch []*submission, err error) {
	for _, s := range batch {
		s.done <- err
	}
}

// withoutStored confirms the submissions whose jobs are in the store, and returns the others.
func withoutStored(batch []*submission, conflict *keeper.ConflictError) []*submission {
	var rest []*submission
	for _, s := range batch {
		if conflict.EntryOf(JobKey(s.job.ID)).Revision != 0 || conflict.EntryOf(StateKey(s.job.ID)).Revision != 0 {
			s.done <- nil
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// withoutExpired drops the submissions whose callers no longer wait.
func withoutExpired(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if time.Now().Before(s.deadline) {
			rest = append(rest, s)
		}
	}
	return rest
}
