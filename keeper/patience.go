package keeper

import (
	"context"
	"sync"
	"time"
)

const (
	// shortestPatience is the first wait for the answer to a write; a healthy store answers within ten milliseconds.
	shortestPatience = 150 * time.Millisecond
	// longestPatience bounds the wait; a slow store takes about 250 ms.
	longestPatience = 800 * time.Millisecond
	// patienceFactor times the last answer's time is the first wait while the store is slow.
	patienceFactor = 3
)

// Patience is how long to wait for the answer to a write that may be repeated. Answers that are lost are found missing
// soon while the store is fast, and a slow store is waited for. The zero value is ready for use.
type Patience struct {
	mu   sync.Mutex
	last time.Duration
}

// Timeout returns the wait for an attempt; the first one is 0.
func (p *Patience) Timeout(attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := max(shortestPatience, patienceFactor*p.last)
	return min(first<<min(attempt, 4), longestPatience)
}

// Commit makes one attempt at a transaction and waits for its answer as long as the store usually takes.
func (p *Patience) Commit(
	ctx context.Context, store TransactionalStore, transaction Transaction, attempt int,
) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout(attempt))
	defer cancel()
	askedAt := time.Now()
	revision, err := store.Commit(ctx, transaction)
	if err == nil || IsErrConflict(err) {
		p.Observe(time.Since(askedAt))
	}
	return revision, err
}

// Observe notes how long an answer took.
func (p *Patience) Observe(taken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = taken
}
