package arbiter

import (
	"cmp"
	"slices"
	"time"
)

// Order is the order of some waiting steps. The starts that are charged between two calls of Next take part in it.
type Order[V any] struct {
	arbiter *Arbiter
	// ranks are sorted by class, service and latest start; those before position are served or in queues.
	ranks    []*Rank[V]
	position int
	teams    bool
	// queues are the teams with steps left of the present class and service, as a heap.
	queues []teamQueue[V]
	// served is set when the step at the top of the heap was returned.
	served bool
}

// teamQueue has the steps of a team of a class in their order.
type teamQueue[V any] struct {
	flow        *flow
	first, last *Rank[V]
}

// before reports whether the first step of the queue is served before that of the other one.
func (q *teamQueue[V]) before(other *teamQueue[V]) bool {
	if q.flow.tag != other.flow.tag {
		return q.flow.tag < other.flow.tag
	}
	return compareWithin(q.first, other.first) < 0
}

// Arrange returns the order of some waiting steps. It takes over the slice. All is set when the steps are all that wait: a team without
// one of them has a pause.
func Arrange[V any](a *Arbiter, ranks []*Rank[V], all bool) *Order[V] {
	o := &Order[V]{arbiter: a, ranks: ranks}
	for _, r := range ranks {
		r.class = r.classOf()
		o.teams = o.teams || r.Team != ""
	}
	if !o.teams {
		slices.SortFunc(ranks, compare[V])
		return o
	}
	if all {
		a.pass++
	}
	slices.SortFunc(ranks, compareWithTeams[V])
	return o
}

// compareWithTeams is compare with the services of a class kept together, because each has its virtual time.
func compareWithTeams[V any](a, b *Rank[V]) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.Service != b.Service {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}
	return compareWithin(a, b)
}

// Next returns the next step; it reports false after the last one.
func (o *Order[V]) Next() (*Rank[V], bool) {
	if !o.teams {
		if o.position == len(o.ranks) {
			return nil, false
		}
		o.position++
		return o.ranks[o.position-1], true
	}
	if o.served {
		o.dropFirst()
	}
	if len(o.queues) == 0 && !o.fill() {
		return nil, false
	}
	o.served = true
	top := &o.queues[0]
	top.flow.start = top.flow.tag
	return top.first, true
}

// dropFirst removes the step that was returned last, and restores the heap.
func (o *Order[V]) dropFirst() {
	top := &o.queues[0]
	o.served = false
	top.first = top.first.next
	if top.first == nil {
		last := len(o.queues) - 1
		o.queues[0] = o.queues[last]
		o.queues = o.queues[:last]
	}
	o.siftDown(0)
}

// fill makes queues of the steps of the next class and service. It reports false when there are none.
func (o *Order[V]) fill() bool {
	if o.position == len(o.ranks) {
		return false
	}
	first := o.ranks[o.position]
	c := o.arbiter.clockOf(clockKey{service: first.Service, priority: first.Priority, beyond: first.Beyond})
	c.fills++
	for o.position < len(o.ranks) {
		r := o.ranks[o.position]
		if r.Service != first.Service || r.class != first.class {
			break
		}
		o.position++
		r.next = nil
		if r.flow == nil || r.flow.clock != c || r.flow.team != r.Team {
			r.flow = c.flowOf(r.Team, o.arbiter.pass)
		}
		f := r.flow
		if f.fill == c.fills {
			q := &o.queues[f.queue]
			q.last.next = r
			q.last = r
			continue
		}
		f.fill, f.queue = c.fills, len(o.queues)
		o.arbiter.activate(f)
		o.queues = append(o.queues, teamQueue[V]{flow: f, first: r, last: r})
	}
	for i := len(o.queues)/2 - 1; i >= 0; i-- {
		o.siftDown(i)
	}
	return true
}

func (o *Order[V]) siftDown(i int) {
	for {
		least := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < len(o.queues) && o.queues[child].before(&o.queues[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		o.queues[i], o.queues[least] = o.queues[least], o.queues[i]
		i = least
	}
}

// Before reports whether a step is served before another one, with the tags as they are.
func Before[V any](a, b *Rank[V]) bool {
	if order := cmp.Compare(a.classOf(), b.classOf()); order != 0 {
		return order < 0
	}
	if a.flow != nil && b.flow != nil && a.flow.clock == b.flow.clock && a.flow.tag != b.flow.tag {
		return a.flow.tag < b.flow.tag
	}
	return compareWithin(a, b) < 0
}

// Ahead returns how far the team of a step was served ahead of the virtual time, in terms of its configured share of the service: after one
// second ahead it is owed nothing for a second. It is negative for a team that is owed service, and zero without teams.
func Ahead[V any](a *Arbiter, r *Rank[V]) time.Duration {
	if r.flow == nil {
		return 0
	}
	return time.Duration((r.flow.tag - r.flow.clock.now) / a.maxLag * float64(MaxCredit))
}
