package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

// roomPart is the part of a peer's reported free slots that is used: one of so many. Other instances see the same
// report and would otherwise fill the peer together.
const roomPart = 2

// anyWork permits all work: a peer's slots are not bound by the caps on the own ones.
var anyWork = queuer.PermitAll()

// peer is a peer with the number of relays that it may still get.
type peer struct {
	load PeerLoad
	room int
	most int
}

// peers holds the peers, those of the same zone first.
type peers struct {
	known []*peer
	room  int
}

func (p *peers) replace(loads []PeerLoad) {
	p.known = make([]*peer, 0, len(loads))
	p.room = 0
	for _, load := range loads {
		room := (max(0, load.FreeSlots) + roomPart - 1) / roomPart
		p.known = append(p.known, &peer{load: load, room: room, most: room})
		p.room += room
	}
	slices.SortStableFunc(p.known, func(a, b *peer) int {
		return cmp.Or(zoneOrder(a)-zoneOrder(b), cmp.Compare(a.load.Instance, b.load.Instance))
	})
}

func zoneOrder(p *peer) int {
	if p.load.SameZone {
		return 0
	}
	return 1
}

// take returns the peer with the most room, of the same zone if one there has any.
func (p *peers) take() (describer.InstanceID, bool) {
	if p.room == 0 {
		return "", false
	}
	var best *peer
	for _, candidate := range p.known {
		if candidate.room == 0 || best != nil && zoneOrder(best) < zoneOrder(candidate) {
			continue
		}
		if best == nil || candidate.room > best.room {
			best = candidate
		}
	}
	best.room--
	p.room--
	return best.load.Instance, true
}

// giveBack returns the room of an ended relay, or takes all room from a peer that refused.
func (p *peers) giveBack(instance describer.InstanceID, refused bool) {
	for _, candidate := range p.known {
		if candidate.load.Instance != instance {
			continue
		}
		room := min(candidate.room+1, candidate.most)
		if refused {
			room = 0
		}
		p.room += room - candidate.room
		candidate.room = room
	}
}

// mayRelay reports whether a peer may run the request. A non-repeatable request with a key runs only here, at the
// home of its key.
func (d *Dispatcher) mayRelay(e *entry) bool {
	if !d.policy.relays || e.request.Relayed || e.relays > 0 || e.attempts > 0 {
		return false
	}
	return e.request.Repeatable || e.request.IdempotencyKey == ""
}

// relay sends a request to a peer while the own share is full, and reports whether it did.
func (d *Dispatcher) relay(e *entry) bool {
	if d.picker.Free() > 0 || !d.mayRelay(e) {
		return false
	}
	instance, found := d.peers.take()
	if !found {
		return false
	}
	d.dequeue(e)
	e.state = relayed
	e.relays++
	e.peer = instance
	d.emit(RelayToPeer{ID: e.request.ID, Instance: instance, Deadline: e.request.Deadline})
	return true
}

// relayWaiting relays queued requests after peers have reported free slots. It stops at a request that may not be
// relayed, so that its cost does not depend on the length of the queue.
func (d *Dispatcher) relayWaiting(now time.Time) {
	for d.peers.room > 0 && d.queue.Len() > 0 {
		item := d.queue.Next(now, anyWork)
		if item == nil || !d.relay(item.Value) {
			return
		}
	}
}

func (d *Dispatcher) endRelay(now time.Time, event RelayEnded) {
	e, known := d.requests[event.ID]
	if !known || e.state != relayed {
		return
	}
	d.peers.giveBack(e.peer, event.Evidence.ProvesNotRun())
	d.conclude(now, e, ending{event.Evidence, event.AnswerBegun})
}
