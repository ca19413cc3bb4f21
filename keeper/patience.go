package keeper

import (
	"context"
	"sync"
	"time"
)

const (
	// minFirstTimeout is the least timeout of the first attempt at a write; a healthy store answers within ten
	// milliseconds.
	minFirstTimeout = 150 * time.Millisecond
	// maxTimeout bounds the timeout of every attempt; a slow store takes about 250 ms to answer.
	maxTimeout = 800 * time.Millisecond
	// firstTimeoutFactor times the time of the last answer is the timeout of the first attempt while the store is slow.
	firstTimeoutFactor = 3
)

// AdaptiveTimeout computes the timeouts of a write that may be retried from the time that the store took for its last
// answer. While the store is fast, a lost answer is noticed soon; a slow store gets more time to answer. The zero value
// is ready for use. It is safe for concurrent use.
type AdaptiveTimeout struct {
	mu             sync.Mutex
	lastAnswerTime time.Duration
}

// Timeout returns the timeout of an attempt; the first attempt is 0. The timeout doubles with each of the next four
// attempts, up to maxTimeout.
func (t *AdaptiveTimeout) Timeout(attempt int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := max(minFirstTimeout, firstTimeoutFactor*t.lastAnswerTime)
	return min(first<<min(attempt, 4), maxTimeout)
}

// Commit makes one attempt at a transaction, with the timeout of that attempt, and records how long the store took to
// accept it or to answer with a conflict.
func (t *AdaptiveTimeout) Commit(
	ctx context.Context, store TransactionalStore, transaction Transaction, attempt int,
) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout(attempt))
	defer cancel()
	startedAt := time.Now()
	revision, err := store.Commit(ctx, transaction)
	if err == nil || IsErrConflict(err) {
		t.Observe(time.Since(startedAt))
	}
	return revision, err
}

// Observe records how long the last answer took.
func (t *AdaptiveTimeout) Observe(taken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAnswerTime = taken
}
