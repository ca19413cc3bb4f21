package keeper

import (
	"context"
	"sync"
	"time"
)

const (
	// minFirstTimeout is the shortest timeout of the first attempt at a write; a healthy store responds within ten
	// milliseconds.
	minFirstTimeout = 150 * time.Millisecond
	// maxTimeout bounds the timeout of every attempt; a slow store takes about 250 ms to respond.
	maxTimeout = 800 * time.Millisecond
	// firstTimeoutFactor is multiplied by the last response time to give the timeout of the first attempt while the store
	// is slow.
	firstTimeoutFactor = 3
)

// AdaptiveTimeout computes the timeouts of the attempts at a write that may be retried, from the time that the store
// took for its last response. While the store is fast, a lost response is noticed soon; a slow store gets more time to
// respond. The zero value is ready for use. It is safe for concurrent use.
type AdaptiveTimeout struct {
	mu               sync.Mutex
	lastResponseTime time.Duration
}

// Timeout returns the timeout of an attempt; the first attempt is 0. The timeout doubles with each of the next four
// attempts, up to maxTimeout.
func (t *AdaptiveTimeout) Timeout(attempt int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := max(minFirstTimeout, firstTimeoutFactor*t.lastResponseTime)
	return min(first<<min(attempt, 4), maxTimeout)
}

// Commit makes one attempt at a transaction, with the timeout of that attempt, and records how long the store took to
// accept it or to report a conflict.
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

// Observe records how long the last response took.
func (t *AdaptiveTimeout) Observe(taken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponseTime = taken
}
