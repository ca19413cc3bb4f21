package dispatcher

import (
	"math/rand/v2"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

const (
	defaultQueueLimit = 1000
	maxAttempts       = 3
	retryBase         = 5 * time.Millisecond
)

type server struct {
	live  bool
	slots int
	inUse int
}

func (s *server) free() int {
	if !s.live {
		return 0
	}
	return max(0, s.slots-s.inUse)
}

// Dispatcher decides when and where each request runs. It is not safe for concurrent use.
type Dispatcher struct {
	seed     uint64
	random   *rand.Rand
	services map[describer.ServiceID]describer.Service
	ready    bool
	requests map[describer.RequestID]*entry
	queues   [describer.ClassCount][]*entry
	servers  map[describer.BackendServerID]*server
	commands []Command
}

// New returns a dispatcher without services, shares and requests.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		seed:     1,
		services: make(map[describer.ServiceID]describer.Service),
		requests: make(map[describer.RequestID]*entry),
		servers:  make(map[describer.BackendServerID]*server),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.random = rand.New(rand.NewPCG(d.seed, 0))
	return d
}

// Handle applies one event at time now and returns the commands it causes.
func (d *Dispatcher) Handle(now time.Time, event Event) []Command {
	d.commands = nil
	d.expire(now)
	switch e := event.(type) {
	case RequestArrived:
		d.arrive(now, e.Request)
	case RequestCancelled:
		d.cancel(e.ID)
	case AttemptEnded:
		d.endAttempt(now, e)
	case SharesChanged:
		d.setShares(e.Shares)
	case BackendServersChanged:
		d.setServers(e.Servers)
	case ServicesChanged:
		d.setServices(e.Services)
	}
	d.start()
	return d.commands
}

// NextDeadline is the earliest time at which Handle must be called with Ticked.
func (d *Dispatcher) NextDeadline() (time.Time, bool) {
	var next time.Time
	found := false
	for _, e := range d.requests {
		at := e.request.Deadline
		if e.state == running && e.aborted {
			continue
		}
		if e.state == waitingForRetry && e.retryAt.Before(at) {
			at = e.retryAt
		}
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	return next, found
}

func (d *Dispatcher) emit(command Command) {
	d.commands = append(d.commands, command)
}

func (d *Dispatcher) answer(e *entry, kind classifier.Kind, retryAt time.Time) {
	d.emit(AnswerRequest{ID: e.request.ID, Kind: kind, RetryAt: retryAt})
	d.end(e)
}

func (d *Dispatcher) end(e *entry) {
	if e.state == queued {
		d.dequeue(e)
	}
	e.state = ended
	delete(d.requests, e.request.ID)
}

func (d *Dispatcher) dequeue(e *entry) {
	queue := d.queues[e.request.Class]
	for i := range queue {
		if queue[i] == e {
			d.queues[e.request.Class] = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

func (d *Dispatcher) expire(now time.Time) {
	for _, e := range d.requests {
		late := !now.Before(e.request.Deadline)
		switch {
		case e.state == running:
			if late && !e.aborted {
				e.aborted = true
				d.emit(AbortAttempt{ID: e.request.ID, Attempt: e.attempts})
			}
		case late:
			d.answer(e, e.kindOr(classifier.DeadlineExceeded), time.Time{})
		case e.state == waitingForRetry && !now.Before(e.retryAt):
			e.state = queued
			d.queues[e.request.Class] = append([]*entry{e}, d.queues[e.request.Class]...)
		}
	}
}

func (d *Dispatcher) arrive(now time.Time, request describer.Request) {
	if _, known := d.requests[request.ID]; known {
		return
	}
	kind, ok := d.check(now, request)
	if !ok {
		d.emit(AnswerRequest{ID: request.ID, Kind: kind})
		return
	}
	e := &entry{request: request}
	d.requests[request.ID] = e
	d.queues[request.Class] = append(d.queues[request.Class], e)
}

func (d *Dispatcher) check(now time.Time, request describer.Request) (classifier.Kind, bool) {
	if !d.ready {
		return classifier.NotReady, false
	}
	service, known := d.services[request.Service]
	if !known {
		return classifier.UnknownService, false
	}
	if !request.Deadline.After(now) {
		return classifier.BadDeadline, false
	}
	limit := service.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	if len(d.queues[request.Class]) >= limit {
		return classifier.QueueFull, false
	}
	return 0, true
}

func (d *Dispatcher) cancel(id describer.RequestID) {
	e, known := d.requests[id]
	if !known || e.cancelled {
		return
	}
	e.cancelled = true
	if e.state != running {
		d.answer(e, classifier.Cancelled, time.Time{})
		return
	}
	if !e.aborted {
		e.aborted = true
		d.emit(AbortAttempt{ID: id, Attempt: e.attempts})
	}
}

func (d *Dispatcher) endAttempt(now time.Time, ending AttemptEnded) {
	e, known := d.requests[ending.ID]
	if !known || e.state != running || e.attempts != ending.Attempt {
		return
	}
	d.servers[e.server].inUse--
	e.recordEvidence(ending.Evidence, ending.AnswerBegun)
	if ending.Evidence == describer.Answered {
		d.end(e)
		return
	}
	if e.cancelled {
		d.answer(e, classifier.Cancelled, time.Time{})
		return
	}
	if !now.Before(e.request.Deadline) {
		d.answer(e, e.kindOr(classifier.DeadlineExceeded), time.Time{})
		return
	}
	retryAt := now.Add(d.backoff(e.attempts))
	if ending.AnswerBegun || !mayRetry(e, ending.Evidence) || !retryAt.Before(e.request.Deadline) {
		d.answer(e, e.kindOr(classifier.NoBackendServer), retryAt)
		return
	}
	e.state = waitingForRetry
	e.retryAt = retryAt
}

func mayRetry(e *entry, evidence describer.Evidence) bool {
	if e.attempts >= maxAttempts {
		return false
	}
	switch evidence {
	case describer.NotSent, describer.Refused:
		return true
	case describer.Failed, describer.Truncated, describer.Broken:
		return e.request.Repeatable
	default:
		return false
	}
}

func (d *Dispatcher) backoff(attempts int) time.Duration {
	limit := retryBase << attempts
	return limit/2 + time.Duration(d.random.Int64N(int64(limit/2)))
}

func (d *Dispatcher) start() {
	for class := range d.queues {
		for len(d.queues[class]) > 0 {
			id, found := d.leastLoaded()
			if !found {
				return
			}
			e := d.queues[class][0]
			d.queues[class] = d.queues[class][1:]
			e.state = running
			e.attempts++
			e.server = id
			d.servers[id].inUse++
			d.emit(StartAttempt{ID: e.request.ID, Attempt: e.attempts, BackendServer: id, Deadline: e.request.Deadline})
		}
	}
}

func (d *Dispatcher) leastLoaded() (describer.BackendServerID, bool) {
	var best describer.BackendServerID
	found := false
	for id, s := range d.servers {
		if s.free() == 0 {
			continue
		}
		if !found || s.free() > d.servers[best].free() || s.free() == d.servers[best].free() && id < best {
			best, found = id, true
		}
	}
	return best, found
}

func (d *Dispatcher) server(id describer.BackendServerID) *server {
	s, known := d.servers[id]
	if !known {
		s = &server{}
		d.servers[id] = s
	}
	return s
}

func (d *Dispatcher) setShares(shares []Share) {
	for _, s := range d.servers {
		s.slots = 0
	}
	for _, share := range shares {
		d.server(share.BackendServer).slots = min(share.Slots, share.Connections)
	}
}

func (d *Dispatcher) setServers(servers []describer.BackendServer) {
	for _, s := range d.servers {
		s.live = false
	}
	for _, described := range servers {
		d.server(described.ID).live = described.State == describer.Live
	}
}

func (d *Dispatcher) setServices(services []describer.Service) {
	d.ready = true
	d.services = make(map[describer.ServiceID]describer.Service, len(services))
	for _, service := range services {
		d.services[service.ID] = service
	}
}
