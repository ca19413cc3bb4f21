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

// call is one request of a caller.
type call struct {
	arrival generator.Arrival
	id      describer.RequestID
	sentAt  time.Time
	// wayBack is the time that an answer takes from the first instance to the caller.
	wayBack time.Duration
	begun   bool
	beganAt time.Time
	// ranFrom and ranUntil bound the run that was answered.
	ranFrom  time.Time
	ranUntil time.Time
	ended    bool
}

// stay is the time of a request at an instance.
type stay struct {
	call *call
	// origin is the instance that relayed the request here, or nil.
	origin *entryInstance
	// peer is the instance that the request was relayed to.
	peer   *entryInstance
	queued bool
}

type peerReport struct {
	at   time.Time
	load dispatcher.PeerLoad
}

// entryInstance is an entry instance with its dispatcher.
type entryInstance struct {
	cell       *requestCell
	id         describer.InstanceID
	zone       int
	alive      bool
	dispatcher *dispatcher.Dispatcher
	stays      map[describer.RequestID]*stay
	attempts   map[attemptKey]*attempt
	reports    map[describer.InstanceID]peerReport
	tickAt     time.Time
	slots      int
	use        slotUse
}

// handle passes an event to the dispatcher and carries out its commands.
func (i *entryInstance) handle(event dispatcher.Event) {
	if !i.alive {
		return
	}
	for _, command := range i.dispatcher.Handle(i.cell.now, event) {
		switch c := command.(type) {
		case dispatcher.StartAttempt:
			i.start(c)
		case dispatcher.RelayToPeer:
			i.relay(c)
		case dispatcher.AnswerRequest:
			i.answer(c)
		case dispatcher.AbortAttempt:
			i.abort(c)
		}
	}
	i.scheduleTick()
}

func (i *entryInstance) scheduleTick() {
	next, found := i.dispatcher.NextDeadline()
	if !found || !i.tickAt.IsZero() && !next.Before(i.tickAt) {
		return
	}
	// An appointment that is due at once must not stop virtual time.
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

// arrive takes a request of a caller or of a peer.
func (i *entryInstance) arrive(k *call, request describer.Request, origin *entryInstance) {
	if !i.alive {
		if origin != nil {
			i.reply(origin, k, describer.NotSent)
			return
		}
		i.cell.after(k.wayBack, func() { i.cell.tellNotRun(k) })
		return
	}
	i.stays[k.id] = &stay{call: k, origin: origin}
	i.setQueued(i.stays[k.id], true)
	i.handle(dispatcher.RequestArrived{Request: request})
	if i.stays[k.id] != nil && i.stays[k.id].queued && k.arrival.Class == describer.Urgent {
		i.cell.tally.hold(k, i.use.busy)
	}
}

func (i *entryInstance) setQueued(s *stay, queued bool) {
	if s.queued == queued {
		return
	}
	s.queued = queued
	change := -1
	if queued {
		change = 1
	}
	i.cell.countUse(i).queued[s.call.arrival.Class] += change
}

func (i *entryInstance) relay(c dispatcher.RelayToPeer) {
	s := i.stays[c.ID]
	i.setQueued(s, false)
	s.peer = i.cell.instance(c.Instance)
	request := s.call.arrival.Request(c.ID, epochStart).WithRelayed()
	i.cell.after(i.cell.delay(i, s.peer), func() { s.peer.arrive(s.call, request, i) })
}

// reply reports the end of a relay to the instance it came from.
func (i *entryInstance) reply(origin *entryInstance, k *call, evidence describer.Evidence) {
	i.cell.after(i.cell.delay(i, origin), func() { origin.endRelay(k, evidence) })
}

func (i *entryInstance) endRelay(k *call, evidence describer.Evidence) {
	s, known := i.stays[k.id]
	if !known || !i.alive {
		return
	}
	if evidence == describer.Answered {
		i.finish(s, evidence, fakebackend.ToldAnswered)
	} else if evidence.ProvesNotRun() {
		i.setQueued(s, true)
	}
	i.handle(dispatcher.RelayEnded{ID: k.id, Evidence: evidence})
}

func (i *entryInstance) answer(c dispatcher.AnswerRequest) {
	s := i.stays[c.ID]
	switch outcome := classifier.AnswerOf(c.Kind).Outcome; {
	case c.Kind == classifier.Cancelled:
		i.finish(s, describer.Aborted, fakebackend.ToldNothing)
	case outcome == classifier.NotRun:
		i.finish(s, describer.Refused, fakebackend.ToldNotRun)
	case outcome == classifier.Run:
		i.finish(s, describer.Failed, fakebackend.ToldRun)
	default:
		i.finish(s, describer.Broken, fakebackend.ToldUnknown)
	}
}

// finish ends the stay of a request and reports its result to where it came from.
func (i *entryInstance) finish(s *stay, evidence describer.Evidence, told fakebackend.Told) {
	i.setQueued(s, false)
	delete(i.stays, s.call.id)
	if s.origin != nil {
		i.reply(s.origin, s.call, evidence)
		return
	}
	i.cell.after(s.call.wayBack, func() { i.cell.tell(s.call, told) })
}

// report sends the load to the peers, and passes the loads heard of to the dispatcher.
func (i *entryInstance) report() bool {
	if !i.alive {
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
		i.cell.after(i.cell.delay(i, peer), func() { peer.hear(reported) })
	}
	return true
}

func (i *entryInstance) hear(load dispatcher.PeerLoad) {
	i.reports[load.Instance] = peerReport{at: i.cell.now, load: load}
	var loads []dispatcher.PeerLoad
	for _, report := range i.reports {
		if i.cell.now.Sub(report.at) < loadLife {
			loads = append(loads, report.load)
		}
	}
	slices.SortFunc(loads, func(a, b dispatcher.PeerLoad) int { return cmp.Compare(a.Instance, b.Instance) })
	i.handle(dispatcher.PeersReported{Loads: loads})
}

// die ends the instance. Its callers and the instances whose relays it holds see broken connections.
func (i *entryInstance) die() {
	i.alive = false
	stays := make([]*stay, 0, len(i.stays))
	for _, s := range i.stays {
		stays = append(stays, s)
	}
	slices.SortFunc(stays, func(a, b *stay) int { return cmp.Compare(a.call.id, b.call.id) })
	for _, s := range stays {
		i.finish(s, describer.Broken, fakebackend.ToldNothing)
	}
	for _, a := range i.running() {
		a.abort()
	}
}
