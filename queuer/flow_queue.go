package queuer

import "container/heap"

// flowQueue holds the items of one flow in order of arrival, as a doubly linked list.
type flowQueue[V any] struct {
	first *Item[V]
	last  *Item[V]
	// key orders the flow queues of a heap; it is the key of the first item.
	key   int64
	heap  *flowQueueHeap[V]
	index int
}

func (l *flowQueue[V]) pushBack(item *Item[V]) {
	item.queue = l
	item.previous = l.last
	if l.last == nil {
		l.first = item
	} else {
		l.last.next = item
	}
	l.last = item
}

func (l *flowQueue[V]) pushFront(item *Item[V]) {
	item.queue = l
	item.next = l.first
	if l.first == nil {
		l.last = item
	} else {
		l.first.previous = item
	}
	l.first = item
}

func (l *flowQueue[V]) unlink(item *Item[V]) {
	if item.previous == nil {
		l.first = item.next
	} else {
		item.previous.next = item.next
	}
	if item.next == nil {
		l.last = item.previous
	} else {
		item.next.previous = item.previous
	}
	item.queue, item.previous, item.next = nil, nil, nil
}

// leaveHeap removes the flow queue from its heap.
func (l *flowQueue[V]) leaveHeap() {
	if l.heap != nil {
		heap.Remove(l.heap, l.index)
		l.heap = nil
	}
}

// joinHeap adds the flow queue to a heap.
func (l *flowQueue[V]) joinHeap(h *flowQueueHeap[V]) {
	l.heap = h
	heap.Push(h, l)
}

// flowQueueHeap orders flow queues by key.
type flowQueueHeap[V any] []*flowQueue[V]

// Len returns the number of flow queues.
func (h flowQueueHeap[V]) Len() int { return len(h) }

// Less compares two flow queues by key.
func (h flowQueueHeap[V]) Less(i, j int) bool { return h[i].key < h[j].key }

// Swap exchanges two flow queues.
func (h flowQueueHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a flow queue.
func (h *flowQueueHeap[V]) Push(x any) {
	l := x.(*flowQueue[V])
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop removes the last flow queue.
func (h *flowQueueHeap[V]) Pop() any {
	end := len(*h) - 1
	l := (*h)[end]
	(*h)[end] = nil
	*h = (*h)[:end]
	return l
}

func (h flowQueueHeap[V]) head() *Item[V] {
	if len(h) == 0 {
		return nil
	}
	return h[0].first
}
