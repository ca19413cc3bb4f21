package buffer

import (
	"context"

	"github.com/pkg/errors"
)

// ErrFull is returned when a queue has no room.
var ErrFull = errors.New("queue is full")

// Queue is a bounded queue between goroutines.
type Queue[T any] struct {
	items chan T
}

// NewQueue returns an empty queue that holds at most capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer appends an item without waiting and returns ErrFull when there is no room.
func (q *Queue[T]) Offer(item T) error {
	select {
	case q.items <- item:
		return nil
	default:
		return ErrFull
	}
}

// Put appends an item and waits for room until the context ends.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for room in queue")
	}
}

// Items returns the channel from which the consumer receives.
func (q *Queue[T]) Items() <-chan T {
	return q.items
}
