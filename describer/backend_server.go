package describer

// ServerState is the state of a backend server in the instance list.
type ServerState string

// The states of a backend server.
const (
	Live    ServerState = "Live"
	Leaving ServerState = "Leaving"
	Gone    ServerState = "Gone"
)

// Resources is an amount of processor, memory and accelerators that a backend server has or a task needs.
type Resources struct {
	MilliCores   int64
	MemoryBytes  int64
	Accelerators int64
}

// Plus returns the sum of both amounts, in each dimension.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + other.MilliCores,
		MemoryBytes:  r.MemoryBytes + other.MemoryBytes,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference of both amounts, in each dimension.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - other.MilliCores,
		MemoryBytes:  r.MemoryBytes - other.MemoryBytes,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Fits reports whether the amount is at most the available one in each dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCores <= available.MilliCores &&
		r.MemoryBytes <= available.MemoryBytes &&
		r.Accelerators <= available.Accelerators
}

// BackendServer describes a backend server of the instance list.
type BackendServer struct {
	ID               BackendServerID
	AvailabilityZone AvailabilityZoneID
	Rack             RackID
	Address          string
	State            ServerState
	Capacity         Resources
}

// WithState returns a copy in another state.
func (s BackendServer) WithState(state ServerState) BackendServer {
	s.State = state
	return s
}
