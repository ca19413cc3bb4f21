package deduplicator_test

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"egretring.example/egretring/deduplicator"
)

// modelZones has two zones; the instances of the model are in the first.
var modelZones = zones[:2]

// instance is one incarnation of an entry instance of the model.
type instance struct {
	number  int
	core    *deduplicator.Deduplicator
	running map[string]int
	adopted bool
}

// caller is what the model knows about a key.
type caller struct {
	key       deduplicator.Key
	timed     bool
	firstSent time.Time
	attempts  int
	// delayed holds marked and unmarked attempts that are still on their way. A first attempt is never among them: a
	// caller sends a second attempt only after the deadline of the first.
	delayed []int
	runs    int
}

// world is a zone whose assignment changes as the design prescribes: an instance adopts an epoch, and the transition
// completes when all have adopted it.
type world struct {
	now       time.Time
	instances []*instance
	// positions holds the instance of each position; next is empty while no transition is open.
	positions []int
	next      []int
	completed bool
	callers   []*caller
	created   int
}

func newWorld() *world {
	w := &world{now: epochStart}
	w.positions = []int{w.startInstance().number, w.startInstance().number}
	for _, i := range w.instances {
		w.place(i, w.positions)
	}
	return w
}

func (w *world) startInstance() *instance {
	w.created++
	i := &instance{number: w.created, core: deduplicator.New(), running: make(map[string]int)}
	w.instances = append(w.instances, i)
	return i
}

func (w *world) place(i *instance, assignments ...[]int) {
	var placements []deduplicator.Placement
	for _, positions := range assignments {
		placement := deduplicator.Placement{Zones: modelZones, Zone: modelZones[0], Positions: len(positions)}
		if position := slices.Index(positions, i.number); position >= 0 {
			placement.Held = []int{position}
		}
		placements = append(placements, placement)
	}
	i.core.Place(w.now, placements...)
}

// openTransition proposes new positions from the live instances.
func (w *world) openTransition(t *rapid.T) {
	if w.next != nil {
		return
	}
	numbers := make([]int, 0, len(w.instances))
	for _, i := range w.instances {
		numbers = append(numbers, i.number)
		i.adopted = false
	}
	order := rapid.Permutation(numbers).Draw(t, "order")
	w.next = order[:rapid.IntRange(1, len(order)).Draw(t, "positions")]
	w.completed = false
}

// adopt lets one instance take notice of the transition, or of its completion.
func (w *world) adopt(t *rapid.T) {
	if w.next == nil {
		return
	}
	waiting := slices.DeleteFunc(slices.Clone(w.instances), func(i *instance) bool { return i.adopted })
	i := rapid.SampledFrom(waiting).Draw(t, "instance")
	i.adopted = true
	if w.completed {
		w.place(i, w.next)
	} else {
		w.place(i, w.positions, w.next)
	}
	w.advanceTransition()
}

func (w *world) advanceTransition() {
	if w.next == nil {
		return
	}
	for _, i := range w.instances {
		if !i.adopted {
			return
		}
	}
	if w.completed {
		w.positions, w.next = w.next, nil
		return
	}
	w.completed = true
	for _, i := range w.instances {
		i.adopted = false
	}
}

// kill replaces an instance by a new incarnation, which takes over its position at once.
func (w *world) kill(t *rapid.T) {
	index := rapid.IntRange(0, len(w.instances)-1).Draw(t, "instance")
	dead := w.instances[index]
	for _, text := range slices.Sorted(maps.Keys(dead.running)) {
		if rapid.Bool().Draw(t, "ran") {
			w.callers[dead.running[text]].runs++
		}
	}
	w.instances = slices.Delete(w.instances, index, index+1)
	reborn := w.startInstance()
	reborn.adopted = dead.adopted
	w.positions = replaced(w.positions, dead.number, reborn.number)
	w.next = replaced(w.next, dead.number, reborn.number)
	switch {
	case w.next == nil:
		w.place(reborn, w.positions)
	case w.completed && reborn.adopted:
		w.place(reborn, w.next)
	default:
		w.place(reborn, w.positions, w.next)
	}
	w.advanceTransition()
}

func replaced(positions []int, old, fresh int) []int {
	positions = slices.Clone(positions)
	if i := slices.Index(positions, old); i >= 0 {
		positions[i] = fresh
	}
	return positions
}
