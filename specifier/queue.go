package specifier

import (
	"strings"
	"time"
)

// AdviceCost describes the advice service's calls for a queue. A queue without advice has the zero value.
type AdviceCost struct {
	Needed bool `json:",omitempty"`
	// Fixed is the time of a call and PerServer what each named backend server adds.
	Fixed     time.Duration `json:",omitempty"`
	PerServer time.Duration `json:",omitempty"`
	// TicketLife is how long a ticket admits starts.
	TicketLife time.Duration `json:",omitempty"`
}

// Queue is a queue for jobs that operators configured.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders queues; zero comes first.
	Priority    int
	MaxAttempts int
	// Stretch times the run time of a job, plus TargetLatency, is its objective.
	Stretch       float64
	TargetLatency time.Duration
	Advice        AdviceCost `json:",omitzero"`
}

// Configuration is the operators' configuration.
type Configuration struct {
	Version int64
	// Revision is the store's revision of the configuration; a higher one is newer.
	Revision int64
	Queues   []Queue
	// GuardedServices are services whose backend servers refuse what exceeds their capacity.
	GuardedServices map[string]bool
	MaxBodyBytes    int64
}

// QueueFor returns the queue of a host and the longest matching path prefix.
func (c *Configuration) QueueFor(host, path string) (Queue, bool) {
	var found Queue
	for _, queue := range c.Queues {
		if queue.Host == host && strings.HasPrefix(path, queue.Prefix) && len(queue.Prefix) > len(found.Prefix) {
			found = queue
		}
	}
	return found, found.Prefix != ""
}

// QueueNamed returns the queue of a name.
func (c *Configuration) QueueNamed(name string) (Queue, bool) {
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}
