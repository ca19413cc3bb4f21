package dispatcher

import (
	"time"

	"egretring.example/egretring/admitter"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/estimator"
	"egretring.example/egretring/picker"
	"egretring.example/egretring/queuer"
	"egretring.example/egretring/retrier"
)

const (
	// permitInterval is how often the permit, which states what work may start, is computed again while requests wait
	// although slots are free, because the reserve for Urgent requests shrinks with time even if no event arrives.
	permitInterval = 20 * time.Millisecond
	// capacityGrace is how long requests are still queued while no server accepts work, as during a change of shares.
	capacityGrace = 500 * time.Millisecond
)

// Dispatcher decides when and where each request runs. It is not safe for concurrent use.
//
// Each request ends exactly once: by a FailRequest, or by an AttemptEnded or RelayEnded with the evidence Answered.
// A request whose attempt or relay is in flight ends only after that has ended, also when it was cancelled or its
// deadline has passed; the dispatcher then emits an AbortAttempt and waits for that end.
type Dispatcher struct {
	policy    policy
	estimator *estimator.Estimator
	queue     *queuer.Queuer[*entry]
	admitter  *admitter.Admitter
	picker    *picker.Picker
	retrier   *retrier.Retrier

	services map[describer.ServiceID]describer.Service
	requests map[describer.RequestID]*entry
	// inProgress counts the requests in progress by learner. Each kind has a learner of its own, but the kinds of a
	// service that are not configured share one.
	inProgress map[*estimator.Learner]int
	schedule   schedule
	occupancy  occupancy
	peers      peers

	now time.Time
	// lastCapacity is the last capacity that was not zero, and lastCapacityAt is when it was last observed.
	lastCapacity   int
	lastCapacityAt time.Time
	commands       []Command
}

// New returns a dispatcher without services, shares and requests.
func New(opts ...Option) *Dispatcher {
	p := policy{seed: 1, reserve: true, longCap: true, relays: true, dropUnmeetable: true}
	for _, opt := range opts {
		opt(&p)
	}
	return &Dispatcher{
		policy:     p,
		estimator:  estimator.New(p.estimator...),
		queue:      queuer.New[*entry](p.queuer...),
		admitter:   admitter.New(append(p.admitter, admitter.WithSeed(p.seed))...),
		picker:     picker.New(append(p.picker, picker.WithSeed(p.seed))...),
		retrier:    retrier.New(append(p.retrier, retrier.WithSeed(p.seed))...),
		services:   make(map[describer.ServiceID]describer.Service),
		requests:   make(map[describer.RequestID]*entry),
		inProgress: make(map[*estimator.Learner]int),
		occupancy:  newOccupancy(),
	}
}

// Handle applies one event at time now and returns the resulting commands. If now is before the time of an earlier
// event, the time of the earlier event is used.
func (d *Dispatcher) Handle(now time.Time, event Event) []Command {
	if now.After(d.now) {
		d.now = now
	}
	now = d.now
	d.commands = nil
	d.picker.Advance(now)
	d.apply(now, event)
	d.processDue(now)
	d.observeDemand(now)
	d.startWaiting(now)
	d.relayWaiting(now)
	d.recordCapacity(now)
	d.schedule.compact(len(d.requests))
	return d.commands
}

func (d *Dispatcher) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case RequestArrived:
		d.arrive(now, e.Request)
	case RequestCancelled:
		d.cancel(e.ID)
	case AttemptEnded:
		d.endAttempt(now, e)
	case RelayEnded:
		d.endRelay(now, e)
	case SharesChanged:
		d.setShares(e.Shares)
	case BackendServersChanged:
		d.picker.SetServers(now, e.Servers)
	case SlotsFreed:
		d.picker.FreeHeldSlots(e.BackendServer)
	case BackendServersLeaving:
		d.markLeaving(now, e.BackendServers)
	case PeersReported:
		d.peers.replace(e.Loads)
	case ServicesChanged:
		d.setServices(e.Services)
	}
}

// NextDeadline returns the earliest time at which Handle must be called with Ticked, and false if there is none.
func (d *Dispatcher) NextDeadline() (time.Time, bool) {
	w, found := d.schedule.next()
	next := w.at
	if d.queue.Len() == 0 {
		return next, found
	}
	if at, ok := d.picker.NextDeadline(); ok && (!found || at.Before(next)) {
		next, found = at, true
	}
	if at := d.now.Add(permitInterval); d.picker.Free() > 0 && at.Before(next) {
		next = at
	}
	return next, found
}

// Load is the state of a dispatcher that is reported to peers and operators.
type Load struct {
	// FreeSlots is the number of owned slots in which an attempt may start now.
	FreeSlots int
	// Slots is the number of owned slots of the servers that accept work.
	Slots   int
	Running int
	Queued  [describer.ClassCount]int
	// Ejected is the number of servers that are ejected or being probed.
	Ejected int
}

// Load returns the current load.
func (d *Dispatcher) Load() Load {
	load := Load{
		FreeSlots: d.picker.Free(),
		Slots:     d.picker.Capacity(),
		Running:   d.occupancy.running,
		Ejected:   d.picker.Ejected(),
	}
	for _, class := range describer.Classes() {
		load.Queued[class] = d.queue.LenOfClass(class)
	}
	return load
}

func (d *Dispatcher) emit(command Command) {
	d.commands = append(d.commands, command)
}

// fail ends a request with an error.
func (d *Dispatcher) fail(e *entry, kind classifier.Kind, retryAt time.Time) {
	if !classifier.ErrorResponseOf(kind).RetryMayHelp {
		retryAt = time.Time{}
	}
	d.emit(FailRequest{ID: e.request.ID, Kind: kind, RetryAt: retryAt, ExpectedWait: e.expectedWait})
	d.finish(e)
}

// finish removes an ended request from all data structures and counters.
func (d *Dispatcher) finish(e *entry) {
	d.dequeue(e)
	e.state = ended
	delete(d.requests, e.request.ID)
	d.admitter.EndRequest(e.request)
	d.inProgress[e.learner]--
	if d.inProgress[e.learner] == 0 {
		delete(d.inProgress, e.learner)
	}
}

func (d *Dispatcher) dequeue(e *entry) {
	if e.item.Queued() {
		d.queue.Remove(&e.item)
		d.admitter.Dequeue(e.request)
	}
}
