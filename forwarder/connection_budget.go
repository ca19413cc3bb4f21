package forwarder

import (
	"context"
	"sync"
)

// connectionBudget limits the open connections to one address. It spans the pools of the address, because a replaced
// pool keeps the connections of its exchanges in progress. Each exchange may have a connection even if the limit has been
// lowered below their number: its slot stays with this instance until the exchange ends.
type connectionBudget struct {
	mu        sync.Mutex
	limit     int
	open      int
	exchanges int
	// changed is closed and replaced when a connection may have become available.
	changed chan struct{}
}

func newConnectionBudget(limit int) *connectionBudget {
	return &connectionBudget{limit: limit, changed: make(chan struct{})}
}

func (b *connectionBudget) setLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.notify()
}

func (b *connectionBudget) beginExchange() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges++
	b.notify()
}

func (b *connectionBudget) endExchange() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges--
}

// acquire counts a connection that is about to be opened, and waits while the limit is reached.
func (b *connectionBudget) acquire(ctx context.Context) error {
	for {
		changed, ok := b.tryAcquire()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *connectionBudget) tryAcquire() (changed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= max(b.limit, b.exchanges) {
		return b.changed, false
	}
	b.open++
	return nil, true
}

// release counts a connection that was closed or not opened.
func (b *connectionBudget) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.notify()
}

func (b *connectionBudget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
