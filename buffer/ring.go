// Package buffer provides bounded first-in, first-out queues and a holder of the newest value: Queue and Latest pass values
// between goroutines, and Ring is not safe for concurrent use.
package buffer

// Ring is a bounded first-in, first-out queue. It is not safe for concurrent use.
type Ring[T any] struct {
	items []T
	head  int
	count int
}

// NewRing returns an empty ring that holds at most capacity items.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, capacity)}
}

// Push appends an item and reports whether there was free capacity for it.
func (r *Ring[T]) Push(item T) bool {
	if r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	return true
}

// Pop removes and returns the oldest item.
func (r *Ring[T]) Pop() (T, bool) {
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return item, true
}

// Len returns the number of items.
func (r *Ring[T]) Len() int {
	return r.count
}

// Cap returns the capacity.
func (r *Ring[T]) Cap() int {
	return len(r.items)
}
