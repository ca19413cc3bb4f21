package queuer

import "container/heap"

// lane holds the items of one flow in order of arrival.
type lane[V any] struct {
	first *Item[V]
	last  *Item[V]
	// key orders the lanes of a heap; it belongs to the first item.
	key   int64
	heap  *laneHeap[V]
	index int
}

func (l *lane[V]) pushBack(item *Item[V]) {
	item.lane = l
	item.previous = l.last
	if l.last == nil {
		l.first = item
	} else {
		l.last.next = item
	}
	l.last = item
}

func (l *lane[V]) pushFront(item *Item[V]) {
	item.lane = l
	item.next = l.first
	if l.first == nil {
		l.last = item
	} else {
		l.first.previous = item
	}
	l.first = item
}

func (l *lane[V]) unlink(item *Item[V]) {
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
	item.lane, item.previous, item.next = nil, nil, nil
}

// leaveHeap takes the lane out of its heap.
func (l *lane[V]) leaveHeap() {
	if l.heap != nil {
		heap.Remove(l.heap, l.index)
		l.heap = nil
	}
}

// joinHeap puts the lane into a heap.
func (l *lane[V]) joinHeap(h *laneHeap[V]) {
	l.heap = h
	heap.Push(h, l)
}

// laneHeap orders lanes by key.
type laneHeap[V any] []*lane[V]

// Len returns the number of lanes.
func (h laneHeap[V]) Len() int { return len(h) }

// Less compares two lanes by key.
func (h laneHeap[V]) Less(i, j int) bool { return h[i].key < h[j].key }

// Swap exchanges two lanes.
func (h laneHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a lane.
func (h *laneHeap[V]) Push(x any) {
	l := x.(*lane[V])
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop removes the last lane.
func (h *laneHeap[V]) Pop() any {
	end := len(*h) - 1
	l := (*h)[end]
	(*h)[end] = nil
	*h = (*h)[:end]
	return l
}

func (h laneHeap[V]) head() *Item[V] {
	if len(h) == 0 {
		return nil
	}
	return h[0].first
}
