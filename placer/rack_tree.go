package placer

import "egretring.example/egretring/describer"

// noCapacity is the free capacity of a rack or backend server on which nothing fits.
var noCapacity = describer.Resources{MilliCores: -1, MemoryBytes: -1, Accelerators: -1}

// rackTree is a segment tree over the racks. Each node holds, for each dimension, the largest free capacity of a
// backend server in its racks, so that a search skips all racks on which a need cannot fit.
type rackTree struct {
	leaves     int
	capacities []describer.Resources
}

func newRackTree(racks int) rackTree {
	leaves := 1
	for leaves < racks {
		leaves *= 2
	}
	tree := rackTree{leaves: leaves, capacities: make([]describer.Resources, 2*leaves)}
	for i := range tree.capacities {
		tree.capacities[i] = noCapacity
	}
	return tree
}

func (t *rackTree) update(rack int, capacity describer.Resources) {
	node := t.leaves + rack
	for t.capacities[node] != capacity {
		t.capacities[node] = capacity
		node /= 2
		if node == 0 {
			return
		}
		capacity = larger(t.capacities[2*node], t.capacities[2*node+1])
	}
}

// visit calls fn for each rack on which the need may fit, in circular order beginning at from, until fn returns true.
// It reports whether fn returned true.
func (t *rackTree) visit(need describer.Resources, from int, fn func(rack int) bool) bool {
	if t.visitRange(1, 0, t.leaves, need, from, t.leaves, fn) {
		return true
	}
	return t.visitRange(1, 0, t.leaves, need, 0, from, fn)
}

func (t *rackTree) visitRange(
	node, first, end int, need describer.Resources, from, until int, fn func(rack int) bool,
) bool {
	if end <= from || until <= first || !need.Fits(t.capacities[node]) {
		return false
	}
	if end-first == 1 {
		return fn(first)
	}
	middle := (first + end) / 2
	return t.visitRange(2*node, first, middle, need, from, until, fn) ||
		t.visitRange(2*node+1, middle, end, need, from, until, fn)
}
