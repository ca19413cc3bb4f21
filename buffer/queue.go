package buffer

import (
	"context"

	"github.com/pkg/errors"
)

// ErrFull is returned when a queue is full.
var ErrFull = errors.New("queue is full")

// Queue is a bounded first-in, first-out queue between goroutines. It is safe for concurrent use.
type Queue[T any] struct {
	items chan T
}

// NewQueue returns an empty queue that holds at most capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer appends an item without blocking and returns ErrFull when the queue is full.
func (q *Queue[T]) Offer(item T) error {
	select {
	case q.items <- item:
		return nil
	default:
		return ErrFull
	}
}

// Put appends an item. When the queue is full, it blocks until there is free capacity or the context ends.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for free capacity in queue")
	}
}

// Items returns the channel from which the consumer receives.
func (q *Queue[T]) Items() <-chan T {
	return q.items
}
