package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Group classifies work by how long it may occupy a slot.
type Group int

// The groups.
const (
	// Short work is expected to end soon.
	Short Group = iota
	// Uncertain work is expected to end soon, but its kind has a notable share of stragglers, runs that take much longer
	// than is usual for the kind.
	Uncertain
	// Long work is expected to occupy its slot much longer than short work.
	Long
	// GroupCount is the number of groups.
	GroupCount
)

// Flow identifies work of the same kind, which is served in order of arrival.
type Flow struct {
	Service describer.ServiceID
	Kind    describer.KindID
	Class   describer.Class
}

// Item is one unit of waiting work. The queuer links items to each other, so an item must not be in more than one
// queuer at a time.
type Item[V any] struct {
	Value   V
	Flow    Flow
	Group   Group
	Arrived time.Time
	// Expected is the median run time; it orders the flows of a class.
	Expected time.Duration
	// Work is the mean run time; it is charged to the class when the item is served.
	Work time.Duration

	queue    *flowQueue[V]
	previous *Item[V]
	next     *Item[V]
}

// Queued reports whether the item is in a queuer.
func (i *Item[V]) Queued() bool {
	return i.queue != nil
}

// Permit specifies which classes and groups of work may be served now.
type Permit [describer.ClassCount][GroupCount]bool

// PermitAll permits all work.
func PermitAll() Permit {
	var permit Permit
	for class := range permit {
		for group := range permit[class] {
			permit[class][group] = true
		}
	}
	return permit
}

// None reports whether no work may be served.
func (p Permit) None() bool {
	return p == Permit{}
}
