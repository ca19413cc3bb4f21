package placer

import "egretring.example/egretring/describer"

// noRoom marks a rack or backend server on which nothing fits.
var noRoom = describer.Resources{MilliCores: -1, MemoryBytes: -1, Accelerators: -1}

// rackTree is a segment tree over the racks. Each node holds the largest amount in each dimension that a backend
// server below it offers, so that a search skips all racks on which a need cannot fit.
type rackTree struct {
	leaves int
	offers []describer.Resources
}

func newRackTree(racks int) rackTree {
	leaves := 1
	for leaves < racks {
		leaves *= 2
	}
	tree := rackTree{leaves: leaves, offers: make([]describer.Resources, 2*leaves)}
	for i := range tree.offers {
		tree.offers[i] = noRoom
	}
	return tree
}

func (t *rackTree) update(rack int, offer describer.Resources) {
	node := t.leaves + rack
	for t.offers[node] != offer {
		t.offers[node] = offer
		node /= 2
		if node == 0 {
			return
		}
		offer = larger(t.offers[2*node], t.offers[2*node+1])
	}
}

// visit calls fn for each rack that may offer the need, in circular order from a rack, until fn returns true.
func (t *rackTree) visit(need describer.Resources, from int, fn func(rack int) bool) bool {
	if t.visitRange(1, 0, t.leaves, need, from, t.leaves, fn) {
		return true
	}
	return t.visitRange(1, 0, t.leaves, need, 0, from, fn)
}

func (t *rackTree) visitRange(
	node, first, end int, need describer.Resources, from, until int, fn func(rack int) bool,
) bool {
	if end <= from || until <= first || !need.Fits(t.offers[node]) {
		return false
	}
	if end-first == 1 {
		return fn(first)
	}
	middle := (first + end) / 2
	return t.visitRange(2*node, first, middle, need, from, until, fn) ||
		t.visitRange(2*node+1, middle, end, need, from, until, fn)
}
