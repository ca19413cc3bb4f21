package placer

import (
	"math/bits"

	"egretring.example/egretring/describer"
)

const (
	// levels is the number of levels into which the free processors and memory are divided.
	levels = 32
	// acceleratorGroups divides backend servers by free accelerators: 0, 1, 2-3, 4-7, 8 and more.
	acceleratorGroups = 5
	// maxProbes bounds the backend servers that are checked in one boundary cell; see cellIndex.
	maxProbes = 64
	// noCell marks a backend server that is not in the index.
	noCell = -1
)

// cellIndex finds the backend server that has the least capacity left after a placement. Backend servers are grouped
// into cells by the levels of their free processors and memory and by their group of free accelerators. In a boundary
// cell, which shares a level or the group with the need, a backend server may be too small; every backend server in a
// cell that is higher in all three dimensions fits.
type cellIndex struct {
	scale describer.Resources
	rows  [acceleratorGroups][levels]uint32
	cells [acceleratorGroups * levels * levels][]int32
	// cellOf and placeOf hold the cell of each backend server and its position in that cell.
	cellOf  []int32
	placeOf []int32
}

func newCellIndex(servers int, largest describer.Resources) *cellIndex {
	index := &cellIndex{scale: largest, cellOf: make([]int32, servers), placeOf: make([]int32, servers)}
	for i := range index.cellOf {
		index.cellOf[i] = noCell
	}
	return index
}

func level(amount, scale int64) int {
	if scale <= 0 {
		return 0
	}
	return int(max(0, min(levels-1, amount*levels/scale)))
}

func acceleratorGroup(accelerators int64) int {
	return min(acceleratorGroups-1, bits.Len64(uint64(max(accelerators, 0))))
}

func cellNumber(group, cores, memory int) int32 {
	return int32((group*levels+cores)*levels + memory)
}

// update moves a backend server to the cell of its free capacity. A negative capacity removes it from the index.
func (c *cellIndex) update(server int, free describer.Resources) {
	cell := int32(noCell)
	if free.MilliCores >= 0 && free.MemoryBytes >= 0 && free.Accelerators >= 0 {
		cell = cellNumber(acceleratorGroup(free.Accelerators),
			level(free.MilliCores, c.scale.MilliCores), level(free.MemoryBytes, c.scale.MemoryBytes))
	}
	if cell == c.cellOf[server] {
		return
	}
	c.remove(server)
	if cell == noCell {
		return
	}
	c.cellOf[server], c.placeOf[server] = cell, int32(len(c.cells[cell]))
	c.cells[cell] = append(c.cells[cell], int32(server))
	c.rows[cell/(levels*levels)][cell/levels%levels] |= 1 << (cell % levels)
}

func (c *cellIndex) remove(server int) {
	cell := c.cellOf[server]
	if cell == noCell {
		return
	}
	members := c.cells[cell]
	last := members[len(members)-1]
	members[c.placeOf[server]] = last
	c.placeOf[last] = c.placeOf[server]
	c.cells[cell] = members[:len(members)-1]
	if len(members) == 1 {
		c.rows[cell/(levels*levels)][cell/levels%levels] &^= 1 << (cell % levels)
	}
	c.cellOf[server] = noCell
}

// find returns a backend server with little capacity left after the placement, or -1. The search is complete unless
// truncated is true.
func (c *cellIndex) find(need describer.Resources, fits func(server int) bool) (server int, truncated bool) {
	cores := level(need.MilliCores, c.scale.MilliCores)
	memory := level(need.MemoryBytes, c.scale.MemoryBytes)
	for group := acceleratorGroup(need.Accelerators); group < acceleratorGroups; group++ {
		found, cut := c.findInGroup(group, cores, memory, fits)
		truncated = truncated || cut
		if found >= 0 {
			return found, truncated
		}
	}
	return -1, truncated
}

func (c *cellIndex) findInGroup(group, cores, memory int, fits func(int) bool) (found int, truncated bool) {
	found = -1
	best := 4 * levels
	for row := cores; row < levels && row-cores < best; row++ {
		for set := c.rows[group][row] >> memory << memory; set != 0; set &= set - 1 {
			column := bits.TrailingZeros32(set)
			score := leftover(row-cores, column-memory)
			if score >= best {
				continue
			}
			server, cut := c.probe(cellNumber(group, row, column), fits)
			truncated = truncated || cut
			if server >= 0 {
				found, best = server, score
			}
		}
	}
	return found, truncated
}

// leftover scores the capacity, in levels, that remains after the placement; lower is better. An unbalanced remainder
// of processors and memory scores worse because few other tasks fit into it.
func leftover(cores, memory int) int {
	return cores + memory + max(cores, memory) - min(cores, memory)
}

func (c *cellIndex) probe(cell int32, fits func(int) bool) (server int, truncated bool) {
	members := c.cells[cell]
	for i := len(members) - 1; i >= 0; i-- {
		if len(members)-i > maxProbes {
			return -1, true
		}
		if fits(int(members[i])) {
			return int(members[i]), false
		}
	}
	return -1, false
}
