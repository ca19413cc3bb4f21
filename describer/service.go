package describer

// Kind describes one kind of request of a service.
type Kind struct {
	Class Class
	// Repeatable overrides the default that follows from the HTTP method; nil keeps the default.
	Repeatable *bool
	// ExpectedMilliseconds is the declared run time; the learned estimate replaces it.
	ExpectedMilliseconds int64
}

// Service describes a service that callers can reach and the limits of its backend servers.
type Service struct {
	ID                          ServiceID
	SlotsPerBackendServer       int
	ConnectionsPerBackendServer int
	Kinds                       map[KindID]Kind
	// QueueLimit bounds the queue of each class in each entry instance.
	QueueLimit int
	// TeamLimits bounds the requests in progress of a team in each entry instance; a missing team has no limit.
	TeamLimits map[TeamID]int
}

// KindOf returns the description of a kind; an unknown kind is Standard.
func (s Service) KindOf(id KindID) Kind {
	kind, ok := s.Kinds[id]
	if !ok {
		return Kind{Class: Standard}
	}
	return kind
}
