package buffer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Latest holds the newest of the values that a producer sets. Consumers that are slower than the producer miss values, but
// never the newest one. It is safe for concurrent use.
type Latest[T any] struct {
	mu       sync.Mutex
	value    T
	sequence uint64
	// changed is closed and replaced with each value.
	changed chan struct{}
}

// NewLatest returns a Latest without a value.
func NewLatest[T any]() *Latest[T] {
	return &Latest[T]{changed: make(chan struct{})}
}

// Set replaces the value.
func (l *Latest[T]) Set(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = value
	l.sequence++
	close(l.changed)
	l.changed = make(chan struct{})
}

// Get returns the newest value with its sequence number, which is zero if there is none yet.
func (l *Latest[T]) Get() (T, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value, l.sequence
}

// Await waits for a value that is newer than the one with the given sequence number, and returns it with its own. Sequence
// numbers start at one.
func (l *Latest[T]) Await(ctx context.Context, seen uint64) (T, uint64, error) {
	for {
		l.mu.Lock()
		value, sequence, changed := l.value, l.sequence, l.changed
		l.mu.Unlock()
		if sequence > seen {
			return value, sequence, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return value, sequence, errors.Wrap(ctx.Err(), "wait for a newer value")
		}
	}
}
