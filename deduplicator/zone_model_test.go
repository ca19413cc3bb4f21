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
	number       int
	deduplicator *deduplicator.Deduplicator
	running      map[string]int
	epochApplied bool
}

// caller is the state of a caller and its only key in the model.
type caller struct {
	key       deduplicator.Key
	timed     bool
	firstSent time.Time
	attempts  int
	// delayed holds attempts, with or without a stated number, that were sent and have not arrived. A first attempt is
	// never among them: a caller sends a second attempt only after the deadline of the first.
	delayed []int
	runs    int
}

// zoneModel is a zone whose assignment changes in two steps: each instance applies a new epoch, and the transition
// completes when all have applied it.
type zoneModel struct {
	now       time.Time
	instances []*instance
	// positions holds the instance of each position; next is empty while no transition is open.
	positions []int
	next      []int
	completed bool
	callers   []*caller
	created   int
}

func newZoneModel() *zoneModel {
	z := &zoneModel{now: epochStart}
	z.positions = []int{z.startInstance().number, z.startInstance().number}
	for _, i := range z.instances {
		z.place(i, z.positions)
	}
	return z
}

func (z *zoneModel) startInstance() *instance {
	z.created++
	i := &instance{number: z.created, deduplicator: deduplicator.New(), running: make(map[string]int)}
	z.instances = append(z.instances, i)
	return i
}

func (z *zoneModel) place(i *instance, assignments ...[]int) {
	var placements []deduplicator.Placement
	for _, positions := range assignments {
		placement := deduplicator.Placement{Zones: modelZones, Zone: modelZones[0], Positions: len(positions)}
		if position := slices.Index(positions, i.number); position >= 0 {
			placement.Held = []int{position}
		}
		placements = append(placements, placement)
	}
	i.deduplicator.SetPlacements(z.now, placements...)
}

// openTransition proposes new positions from the live instances.
func (z *zoneModel) openTransition(t *rapid.T) {
	if z.next != nil {
		return
	}
	numbers := make([]int, 0, len(z.instances))
	for _, i := range z.instances {
		numbers = append(numbers, i.number)
		i.epochApplied = false
	}
	order := rapid.Permutation(numbers).Draw(t, "order")
	z.next = order[:rapid.IntRange(1, len(order)).Draw(t, "positions")]
	z.completed = false
}

// applyEpoch lets one instance apply the transition, or its completion.
func (z *zoneModel) applyEpoch(t *rapid.T) {
	if z.next == nil {
		return
	}
	waiting := slices.DeleteFunc(slices.Clone(z.instances), func(i *instance) bool { return i.epochApplied })
	i := rapid.SampledFrom(waiting).Draw(t, "instance")
	i.epochApplied = true
	if z.completed {
		z.place(i, z.next)
	} else {
		z.place(i, z.positions, z.next)
	}
	z.advanceTransition()
}

func (z *zoneModel) advanceTransition() {
	if z.next == nil {
		return
	}
	for _, i := range z.instances {
		if !i.epochApplied {
			return
		}
	}
	if z.completed {
		z.positions, z.next = z.next, nil
		return
	}
	z.completed = true
	for _, i := range z.instances {
		i.epochApplied = false
	}
}

// restartInstance replaces an instance by a new incarnation, which takes over its position immediately.
func (z *zoneModel) restartInstance(t *rapid.T) {
	index := rapid.IntRange(0, len(z.instances)-1).Draw(t, "instance")
	previous := z.instances[index]
	for _, text := range slices.Sorted(maps.Keys(previous.running)) {
		if rapid.Bool().Draw(t, "ran") {
			z.callers[previous.running[text]].runs++
		}
	}
	z.instances = slices.Delete(z.instances, index, index+1)
	restarted := z.startInstance()
	restarted.epochApplied = previous.epochApplied
	z.positions = replaced(z.positions, previous.number, restarted.number)
	z.next = replaced(z.next, previous.number, restarted.number)
	switch {
	case z.next == nil:
		z.place(restarted, z.positions)
	case z.completed && restarted.epochApplied:
		z.place(restarted, z.next)
	default:
		z.place(restarted, z.positions, z.next)
	}
	z.advanceTransition()
}

func replaced(positions []int, old, fresh int) []int {
	positions = slices.Clone(positions)
	if i := slices.Index(positions, old); i >= 0 {
		positions[i] = fresh
	}
	return positions
}
