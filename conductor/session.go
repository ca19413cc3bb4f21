package conductor

import (
	"time"

	"egretring.example/egretring/assessor"
	"egretring.example/egretring/specifier"
)

// allocationState is how far the start of a run has got.
type allocationState int

const (
	// reserved runs wait for the commit of their record.
	reserved allocationState = iota
	// sent runs were ordered and not answered yet.
	sent
	// confirmed runs were started, or were found in the records of an earlier owner.
	confirmed
	// doubtful runs were ordered and got no answer.
	doubtful
)

// allocation is the room that a run takes on a backend server.
type allocation struct {
	task  specifier.TaskID
	run   int
	need  specifier.Resources
	state allocationState
	// version is the version of the job that records the start.
	version uint64
	order   specifier.StartOrder
	fence   int64
	// resolvedAt is when the server answered the start or the stop.
	resolvedAt time.Time
	stopping   bool
	stopSentAt time.Time
	startedAt  time.Time
}

// pendingEnd is an end that the server lists until it is acknowledged.
type pendingEnd struct {
	number  int64
	job     specifier.JobID
	version uint64
}

// session is the owner's view of one life of a backend server.
type session struct {
	server specifier.Server
	listed bool
	// known is set once the server has answered under this owner's fencing token.
	known bool
	fence int64
	// settledFence is the highest token under which the server has answered.
	settledFence int64

	allocations map[specifier.TaskID]*allocation
	used        specifier.Resources

	clock      time.Duration
	clockAt    time.Time
	clockKnown bool
	// leaseEnd is when everything on the server has certainly ended unless the lease is renewed.
	leaseEnd time.Time
	// inherited is set until the server's first answer to this owner.
	inherited bool
	// strayLease is set when a run may be held on the clock of an earlier life, for the longest lease there is.
	strayLease bool

	holdSequence int
	answeredHold int
	holdInFlight bool
	nextHoldAt   time.Time
	holdFailures int
	// suspect servers gave no answer to an order; they get no new runs before their next answer.
	suspect bool

	endsSeen     int64
	acknowledged int64
	pending      []pendingEnd

	health assessor.Health
}

func newSession(server specifier.Server, fence int64) *session {
	return &session{server: server, fence: fence, allocations: make(map[specifier.TaskID]*allocation)}
}

func (s *session) add(a *allocation) {
	s.allocations[a.task] = a
	s.used = s.used.Plus(a.need)
}

func (s *session) release(task specifier.TaskID) {
	a := s.allocations[task]
	if a == nil {
		return
	}
	s.used = s.used.Minus(a.need)
	delete(s.allocations, task)
}

// room returns what is free.
func (s *session) room() specifier.Resources {
	return s.server.Capacity.Minus(s.used)
}

// serverTime returns the estimated time on the clock of the server.
func (s *session) serverTime(now time.Time) time.Duration {
	return s.clock + now.Sub(s.clockAt)
}

// usable reports whether new runs may be placed on the server.
func (s *session) usable(now time.Time) bool {
	return s.known && s.listed && s.clockKnown && !s.server.Draining && s.answers() && s.health.Admits(now, len(s.allocations))
}

// answers reports whether the server has answered the last call and order.
func (s *session) answers() bool {
	return !s.suspect && s.holdFailures == 0
}

// extendLease notes that the lease may last until a time.
func (s *session) extendLease(end time.Time) {
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}
