package specifier

// Resources is an amount of each kind of resource of a backend server.
type Resources struct {
	MilliCores   int64 `json:",omitempty"`
	MemoryMB     int64 `json:",omitempty"`
	Accelerators int64 `json:",omitempty"`
}

// Times returns the amount for a number of tasks.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCores * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether the amount is available in the given free capacity.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Max returns the larger amount of each kind of resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		max(r.MilliCores, other.MilliCores), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators),
	}
}

// Min returns the smaller amount of each kind of resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{
		min(r.MilliCores, other.MilliCores), min(r.MemoryMB, other.MemoryMB), min(r.Accelerators, other.Accelerators),
	}
}

// Count returns how many times the amount is available in the given free capacity, at most limit.
func (r Resources) Count(free Resources, limit int) int {
	count := limit
	for _, pair := range [...][2]int64{
		{r.MilliCores, free.MilliCores}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators},
	} {
		if pair[1] < 0 {
			return 0
		}
		if pair[0] > 0 {
			count = min(count, int(pair[1]/pair[0]))
		}
	}
	return count
}
