package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

type candidates[V any] [describer.ClassCount]*Item[V]

// Next returns the item to serve next among those that the permit allows, and nil when there is none. The item stays
// in its queue until Serve.
func (q *Queuer[V]) Next(now time.Time, permit Permit) *Item[V] {
	heads := q.heads(permit)
	if q.policy.single {
		return oldest(heads)
	}
	q.agedItem = q.aged(now, heads)
	if q.agedItem != nil {
		return q.agedItem
	}
	if !q.policy.weighted {
		return mostUrgent(heads)
	}
	return q.lowestPass(heads)
}

// Serve takes an item that Next returned out of its queue and charges its class.
func (q *Queuer[V]) Serve(item *Item[V]) {
	class := item.Flow.Class
	work := item.Work.Seconds()
	q.Remove(item)
	if item == q.agedItem {
		// A turn out of order says nothing about how far the classes have been served.
		q.agedCredit -= work
	} else {
		q.clock = max(q.clock, q.passes[class])
	}
	q.agedCredit = min(q.agedCredit+agedShare*work, maxCredit)
	q.passes[class] += work / q.policy.weights[class]
	q.limitCredit()
}

// maxCredit is the largest credit of a class or of aged work, in seconds of slot time at weight one.
const maxCredit = 0.1

// limitCredit bounds by how much a class may lag behind. The credit lets a class that was idle, such as Urgent before
// a swing, go first for a while; without a bound a class that was kept from being served would then take all slots.
func (q *Queuer[V]) limitCredit() {
	for class := range q.passes {
		q.passes[class] = max(q.passes[class], q.clock-maxCredit)
	}
}

func (q *Queuer[V]) heads(permit Permit) candidates[V] {
	var heads candidates[V]
	for class := range heads {
		for group := range q.heaps[class] {
			head := q.heaps[class][group].head()
			if head == nil || !permit[class][group] {
				continue
			}
			if heads[class] == nil || q.keyOf(head) < q.keyOf(heads[class]) {
				heads[class] = head
			}
		}
	}
	return heads
}

func (q *Queuer[V]) aged(now time.Time, heads candidates[V]) *Item[V] {
	if !q.policy.ageing || q.agedCredit <= 0 {
		return nil
	}
	item := oldest(heads)
	if item == nil || now.Sub(item.Arrived) < ageAfter {
		return nil
	}
	return item
}

func (q *Queuer[V]) lowestPass(heads candidates[V]) *Item[V] {
	var best *Item[V]
	for class, head := range heads {
		if head == nil {
			continue
		}
		if best == nil || q.passes[class] < q.passes[best.Flow.Class] {
			best = head
		}
	}
	return best
}

func mostUrgent[V any](heads candidates[V]) *Item[V] {
	for _, head := range heads {
		if head != nil {
			return head
		}
	}
	return nil
}

func oldest[V any](heads candidates[V]) *Item[V] {
	var best *Item[V]
	for _, head := range heads {
		if head == nil {
			continue
		}
		if best == nil || head.Arrived.Before(best.Arrived) {
			best = head
		}
	}
	return best
}
