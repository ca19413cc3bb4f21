package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

// freeSlotsDivisor is the divisor of the free slots that a peer reports. This instance uses only the quotient, rounded
// up, for relays. Other instances receive the same report and would otherwise overload the peer together.
const freeSlotsDivisor = 2

// allWork permits all work: the limits on the local slots do not apply to the slots of a peer.
var allWork = queuer.PermitAll()

// peer holds the reported load of a peer, the number of relays that may still be sent to it, and the limit of that
// number.
type peer struct {
	load      PeerLoad
	remaining int
	limit     int
}

// peers holds the peers, those of the same zone first, and the sum of their remaining relays.
type peers struct {
	known     []*peer
	remaining int
}

func (p *peers) replace(loads []PeerLoad) {
	p.known = make([]*peer, 0, len(loads))
	p.remaining = 0
	for _, load := range loads {
		remaining := (max(0, load.FreeSlots) + freeSlotsDivisor - 1) / freeSlotsDivisor
		p.known = append(p.known, &peer{load: load, remaining: remaining, limit: remaining})
		p.remaining += remaining
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

// take counts a relay to the peer with the most remaining relays and returns it. Peers of the same zone are preferred.
func (p *peers) take() (describer.InstanceID, bool) {
	if p.remaining == 0 {
		return "", false
	}
	var best *peer
	for _, candidate := range p.known {
		if candidate.remaining == 0 || best != nil && zoneOrder(best) < zoneOrder(candidate) {
			continue
		}
		if best == nil || candidate.remaining > best.remaining {
			best = candidate
		}
	}
	best.remaining--
	p.remaining--
	return best.load.Instance, true
}

// release increments the remaining relays of a peer after a relay to it has ended, or sets them to zero if the peer
// certainly did not run the request.
func (p *peers) release(instance describer.InstanceID, notRun bool) {
	for _, candidate := range p.known {
		if candidate.load.Instance != instance {
			continue
		}
		remaining := min(candidate.remaining+1, candidate.limit)
		if notRun {
			remaining = 0
		}
		p.remaining += remaining - candidate.remaining
		candidate.remaining = remaining
	}
}

// mayRelay reports whether the request may be sent to a peer. A non-repeatable request with an idempotency key runs
// only on this instance, the home of its key.
func (d *Dispatcher) mayRelay(e *entry) bool {
	if !d.policy.relays || e.request.Relayed || e.relays > 0 || e.attempts > 0 {
		return false
	}
	return e.request.Repeatable || e.request.IdempotencyKey == ""
}

// relay sends a request to a peer if no owned slot is free, and reports whether it did.
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
	for d.peers.remaining > 0 && d.queue.Len() > 0 {
		item := d.queue.Next(now, allWork)
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
	d.peers.release(e.peer, event.Evidence.ProvesNotRun())
	d.completeOrRetry(now, e, attemptResult{event.Evidence, event.ResponseStarted})
}
