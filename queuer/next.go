package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// classHeads holds the first permitted item of each class, or nil.
type classHeads[V any] [describer.ClassCount]*Item[V]

// Next returns the item to serve next among those that the permit allows, and nil when there is none. The item stays
// in its queue until Serve is called.
func (q *Queuer[V]) Next(now time.Time, permit Permit) *Item[V] {
	heads := q.heads(permit)
	if q.policy.singleQueue {
		return oldest(heads)
	}
	q.agedItem = q.nextAged(now, heads)
	if q.agedItem != nil {
		return q.agedItem
	}
	if !q.policy.weighted {
		return mostUrgent(heads)
	}
	return q.lowestPass(heads)
}

// Serve removes an item that Next returned from its queue and charges its slot time to its class.
func (q *Queuer[V]) Serve(item *Item[V]) {
	class := item.Flow.Class
	work := item.Work.Seconds()
	q.Remove(item)
	if item == q.agedItem {
		// An aged item is served out of order, so the pass of its class does not advance the virtual time.
		q.agedCredit -= work
	} else {
		q.virtualTime = max(q.virtualTime, q.passes[class])
	}
	q.agedCredit = min(q.agedCredit+agedShare*work, maxCredit)
	q.passes[class] += work / q.policy.weights[class]
	q.limitCredit()
}

// maxCredit is the largest credit of a class or of aged work, in seconds of slot time at weight one.
const maxCredit = 0.1

// limitCredit bounds how far the pass of a class may lag behind the virtual time. The lag is a credit that lets a class
// that was idle, such as Urgent before a load swing, be served first for a while. Without a bound, a class that was not
// permitted for a time would then take all slots.
func (q *Queuer[V]) limitCredit() {
	for class := range q.passes {
		q.passes[class] = max(q.passes[class], q.virtualTime-maxCredit)
	}
}

func (q *Queuer[V]) heads(permit Permit) classHeads[V] {
	var heads classHeads[V]
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

func (q *Queuer[V]) nextAged(now time.Time, heads classHeads[V]) *Item[V] {
	if !q.policy.ageing || q.agedCredit <= 0 {
		return nil
	}
	item := oldest(heads)
	if item == nil || now.Sub(item.Arrived) < agedAfter {
		return nil
	}
	return item
}

func (q *Queuer[V]) lowestPass(heads classHeads[V]) *Item[V] {
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

func mostUrgent[V any](heads classHeads[V]) *Item[V] {
	for _, head := range heads {
		if head != nil {
			return head
		}
	}
	return nil
}

func oldest[V any](heads classHeads[V]) *Item[V] {
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
