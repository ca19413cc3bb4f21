package specifier

import "time"

// AdviceCost describes the calls to the advice service for a queue. A queue that needs no advice has the zero value.
type AdviceCost struct {
	Needed bool `json:",omitempty"`
	// Fixed is the base duration of a call, and PerServer is added to it for each named backend server.
	Fixed     time.Duration `json:",omitempty"`
	PerServer time.Duration `json:",omitempty"`
	// TicketLife is how long a ticket is valid for starts.
	TicketLife time.Duration `json:",omitempty"`
}

// Queue is a queue for jobs, as configured by operators.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders queues; zero is the highest priority.
	Priority    int
	MaxAttempts int
	// Stretch times the expected run time of a job, plus TargetLatency, is the time in which the job should complete.
	Stretch       float64
	TargetLatency time.Duration
	Advice        AdviceCost `json:",omitzero"`
	// Public queues need no key.
	Public bool `json:",omitempty"`
}

// Configuration is the configuration that operators set.
type Configuration struct {
	Version int64
	// Revision is the store's revision of the configuration; a higher one is newer.
	Revision int64
	Queues   Queues
	// Teams is empty in a deployment without teams.
	Teams Teams
	// CapacityEnforcingServices are the services whose backend servers refuse tasks that exceed their capacity.
	CapacityEnforcingServices map[string]bool
	// MaxConnections is how many connections a backend server of a service accepts; zero or no entry is unknown.
	MaxConnections map[string]int
	// MaxBodyBytes and MaxHeaderBytes bound the parts of a request; zero sets no bound.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
}
