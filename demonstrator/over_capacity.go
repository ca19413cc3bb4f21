package demonstrator

import "egretring.example/egretring/fakebackend"

// OverCapacity counts the work above the capacity of a backend server. Each kind has its own count, because each has
// another cause.
type OverCapacity struct {
	Requests    int64
	Connections int64
	Tasks       int64
	// First holds the first excesses of each backend server.
	First []fakebackend.Excess
}

// OverCapacity returns the work that exceeded the capacity of a backend server so far.
func (c *Cell) OverCapacity() OverCapacity {
	var over OverCapacity
	for _, backend := range c.backends {
		counters := backend.Counters()
		over.Requests += counters.SlotsExceeded
		over.Connections += counters.ConnectionsExceeded
		over.Tasks += counters.CapacityExceeded
		over.First = append(over.First, backend.Excesses()...)
	}
	return over
}
