package checker

// Service is a pool of backend servers of the configuration.
type Service struct {
	Place            string
	Name             Field[string]
	EnforcesCapacity Field[bool]
	// MaxConnections is how many connections a backend server of the service accepts.
	MaxConnections Field[int64]
}
