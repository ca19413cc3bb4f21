package measurer

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
)

// callerRequest is a request from the point of view of its caller.
type callerRequest struct {
	arrival generator.Arrival
	id      describer.RequestID
	sentAt  time.Time
	// returnDelay is the time that a response takes from the first instance to the caller.
	returnDelay time.Duration
	// begun and beganAt describe the first run of the request at a backend server.
	begun   bool
	beganAt time.Time
	// ranFrom and ranUntil are the start and the end of the run that produced the response.
	ranFrom  time.Time
	ranUntil time.Time
	ended    bool
}

// instanceRequest is a request at an instance, from its arrival until the instance responds to it.
type instanceRequest struct {
	call *callerRequest
	// origin is the instance that relayed the request here, or nil.
	origin *entryInstance
	// peer is the instance to which the request was relayed, or nil.
	peer   *entryInstance
	queued bool
}

// peerReport is the last load report of a peer.
type peerReport struct {
	at   time.Time
	load dispatcher.PeerLoad
}

// entryInstance is a simulated entry instance with a real dispatcher.
type entryInstance struct {
	cell       *requestCell
	id         describer.InstanceID
	zone       int
	live       bool
	dispatcher *dispatcher.Dispatcher
	requests   map[describer.RequestID]*instanceRequest
	attempts   map[attemptKey]*attempt
	reports    map[describer.InstanceID]peerReport
	tickAt     time.Time
	slots      int
	use        slotUsage
}

// handle passes an event to the dispatcher and executes its commands.
func (i *entryInstance) handle(event dispatcher.Event) {
	if !i.live {
		return
	}
	for _, command := range i.dispatcher.Handle(i.cell.now, event) {
		switch c := command.(type) {
		case dispatcher.StartAttempt:
			i.start(c)
		case dispatcher.RelayToPeer:
			i.relay(c)
		case dispatcher.FailRequest:
			i.failRequest(c)
		case dispatcher.AbortAttempt:
			i.abort(c)
		}
	}
	i.scheduleTick()
}

// scheduleTick schedules a tick at the next deadline of the dispatcher, unless a tick is already scheduled for that
// time or an earlier one.
func (i *entryInstance) scheduleTick() {
	next, found := i.dispatcher.NextDeadline()
	if !found || !i.tickAt.IsZero() && !next.Before(i.tickAt) {
		return
	}
	// A deadline that is already due is moved a millisecond ahead. Otherwise a dispatcher that keeps returning such a
	// deadline would be ticked forever at the same virtual time.
	if !next.After(i.cell.now) {
		next = i.cell.now.Add(time.Millisecond)
	}
	i.tickAt = next
	i.cell.after(next.Sub(i.cell.now), func() {
		if i.tickAt.Equal(next) {
			i.tickAt = time.Time{}
			i.handle(dispatcher.Ticked{})
		}
	})
}

// arrive handles a request from a caller, or from a peer when origin is not nil. A failed instance refuses it as not
// run.
func (i *entryInstance) arrive(call *callerRequest, request describer.Request, origin *entryInstance) {
	if !i.live {
		if origin != nil {
			i.reply(origin, call, describer.NotSent)
			return
		}
		i.cell.after(call.returnDelay, func() { i.cell.answerNotRun(call) })
		return
	}
	i.requests[call.id] = &instanceRequest{call: call, origin: origin}
	i.setQueued(i.requests[call.id], true)
	i.handle(dispatcher.RequestArrived{Request: request})
	if i.requests[call.id] != nil && i.requests[call.id].queued && call.arrival.Class == describer.Urgent {
		i.cell.tally.countHeldSlots(call, i.use.busy)
	}
}

// setQueued updates the number of queued requests when a request enters or leaves the queue.
func (i *entryInstance) setQueued(r *instanceRequest, queued bool) {
	if r.queued == queued {
		return
	}
	r.queued = queued
	change := -1
	if queued {
		change = 1
	}
	i.cell.accumulateSlotUsage(i).queued[r.call.arrival.Class] += change
}

func (i *entryInstance) relay(c dispatcher.RelayToPeer) {
	r := i.requests[c.ID]
	i.setQueued(r, false)
	r.peer = i.cell.instance(c.Instance)
	request := r.call.arrival.Request(c.ID, epochStart).WithRelayed()
	i.cell.after(i.cell.delay(i, r.peer), func() { r.peer.arrive(r.call, request, i) })
}

// reply reports the end of a relayed request to the instance that relayed it.
func (i *entryInstance) reply(origin *entryInstance, call *callerRequest, evidence describer.Evidence) {
	i.cell.after(i.cell.delay(i, origin), func() { origin.endRelay(call, evidence) })
}

// endRelay handles the response to a relayed request. A request that was not run at the peer is queued again.
func (i *entryInstance) endRelay(call *callerRequest, evidence describer.Evidence) {
	r, known := i.requests[call.id]
	if !known || !i.live {
		return
	}
	if evidence == describer.Answered {
		i.finish(r, evidence, fakebackend.OutcomeAnswered)
	} else if evidence.ProvesNotRun() {
		i.setQueued(r, true)
	}
	i.handle(dispatcher.RelayEnded{ID: call.id, Evidence: evidence})
}

func (i *entryInstance) failRequest(c dispatcher.FailRequest) {
	r := i.requests[c.ID]
	switch outcome := classifier.ErrorResponseOf(c.Kind).Outcome; {
	case c.Kind == classifier.Cancelled:
		i.finish(r, describer.Aborted, fakebackend.OutcomeNone)
	case outcome == classifier.NotRun:
		i.finish(r, describer.Refused, fakebackend.OutcomeNotRun)
	case outcome == classifier.Run:
		i.finish(r, describer.Failed, fakebackend.OutcomeRun)
	default:
		i.finish(r, describer.Broken, fakebackend.OutcomeUnknown)
	}
}

// finish removes a request from the instance and reports its result to the peer or the caller that sent it.
func (i *entryInstance) finish(r *instanceRequest, evidence describer.Evidence, callerOutcome fakebackend.CallerOutcome) {
	i.setQueued(r, false)
	delete(i.requests, r.call.id)
	if r.origin != nil {
		i.reply(r.origin, r.call, evidence)
		return
	}
	i.cell.after(r.call.returnDelay, func() { i.cell.answerCaller(r.call, callerOutcome) })
}

// report sends the load of the instance to all peers. It returns false once the instance has failed.
func (i *entryInstance) report() bool {
	if !i.live {
		return false
	}
	load := i.dispatcher.Load()
	for _, peer := range i.cell.instances {
		if peer == i {
			continue
		}
		reported := dispatcher.PeerLoad{
			Instance: i.id, SameZone: peer.zone == i.zone, FreeSlots: load.FreeSlots, Queued: load.Queued,
		}
		i.cell.after(i.cell.delay(i, peer), func() { peer.receiveLoad(reported) })
	}
	return true
}

// receiveLoad stores the load of a peer and passes all recent loads to the dispatcher.
func (i *entryInstance) receiveLoad(load dispatcher.PeerLoad) {
	i.reports[load.Instance] = peerReport{at: i.cell.now, load: load}
	var loads []dispatcher.PeerLoad
	for _, report := range i.reports {
		if i.cell.now.Sub(report.at) < loadReportMaxAge {
			loads = append(loads, report.load)
		}
	}
	slices.SortFunc(loads, func(a, b dispatcher.PeerLoad) int { return cmp.Compare(a.Instance, b.Instance) })
	i.handle(dispatcher.PeersReported{Loads: loads})
}

// fail stops the instance. Its callers and the peers that relayed requests to it see broken connections.
func (i *entryInstance) fail() {
	i.live = false
	requests := make([]*instanceRequest, 0, len(i.requests))
	for _, r := range i.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *instanceRequest) int { return cmp.Compare(a.call.id, b.call.id) })
	for _, r := range requests {
		i.finish(r, describer.Broken, fakebackend.OutcomeNone)
	}
	for _, a := range i.running() {
		a.abort()
	}
}
