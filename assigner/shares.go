package assigner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// adopt follows the newest record. A member that relies on a hold agreement keeps to its epoch until it has a
// confirmed lease, because the agreement gives no right in a later epoch.
func (a *Assigner) adopt(now time.Time) []Command {
	if a.record.Epoch <= a.adopted.Epoch {
		if a.record.Epoch == a.adopted.Epoch {
			a.adopted = a.record
		}
		return nil
	}
	isMember := a.record.Has(a.self.Owner)
	if !isMember && a.adopted.Epoch == 0 {
		return nil
	}
	if isMember && a.holds() && !a.leaseValid(now) && !a.mayExchangeHold(now) {
		return nil
	}
	a.adopted = a.record
	for _, known := range a.servers {
		known.owned = a.adopted.owns(a.self.Owner, known.Server)
		known.still = (known.still | known.granted) &^ known.owned
		known.granted &= known.owned
	}
	return []Command{AdoptEpoch{Record: a.adopted}}
}

// grant adds owned slots that all earlier holders have released.
func (a *Assigner) grant() {
	for _, id := range a.order {
		known := a.servers[id]
		missing := known.owned &^ known.granted
		if missing == 0 {
			continue
		}
		known.granted |= missing &^ a.occupied(known, missing)
	}
}

// occupied returns which of the slots an earlier holder may still use.
func (a *Assigner) occupied(known *server, slots SlotSet) SlotSet {
	var occupied SlotSet
	for _, holding := range a.adopted.Previous {
		slot := known.slotsOf(holding.Position)
		if slots&slot == 0 || a.isOwn(holding) {
			continue
		}
		if !a.isReleased(known, holding) {
			occupied |= slot
		}
	}
	return occupied
}

func (a *Assigner) isReleased(known *server, holding Holding) bool {
	slot := known.slotOf(holding.Position)
	heartbeat := a.peer(holding.Owner).heartbeat
	return heartbeat.releases(known.ID, slot, holding.Until, a.adopted.Epoch) || a.isCleared(holding, known.ID)
}

// changeShares reports the shares when they change. A member without the right to start work has none.
func (a *Assigner) changeShares(now time.Time) []Command {
	shares := a.currentShares(now)
	if slices.Equal(shares, a.shares) {
		return nil
	}
	a.shares = shares
	a.sharesVersion++
	return []Command{ChangeShares{Version: a.sharesVersion, Shares: shares}}
}

func (a *Assigner) currentShares(now time.Time) []Share {
	if !a.MayStart(now) {
		return nil
	}
	quiesced := a.quiesced(now)
	var shares []Share
	for _, id := range a.order {
		known := a.servers[id]
		slots := known.granted.Len()
		if slots == 0 || slices.Contains(quiesced, id) {
			continue
		}
		connections := known.Connections / known.Slots * slots
		shares = append(shares, Share{BackendServer: id, Slots: slots, Connections: connections})
	}
	return shares
}

// countBusy takes over the own occupied slots and releases the lost slots that they no longer need.
func (a *Assigner) countBusy(counted BusyChanged) {
	for _, known := range a.servers {
		known.busy = 0
	}
	for _, busy := range counted.Busy {
		if known := a.servers[busy.BackendServer]; known != nil {
			known.busy = busy.Slots
		}
	}
	a.countedShares = counted.Shares
	a.dropUnlisted()
	if counted.Shares < a.releaseShares {
		return
	}
	for _, known := range a.servers {
		known.still = known.still.first(max(0, known.busy-known.granted.Len()))
	}
	a.released = a.adopted.Epoch
}

// dropUnlisted forgets backend servers that left the list and that have no work of this member. Only a count under the
// newest shares, which do not contain them, rules out that work was started on them.
func (a *Assigner) dropUnlisted() {
	if a.countedShares != a.sharesVersion {
		return
	}
	for id, known := range a.servers {
		if !known.listed && known.busy == 0 && known.still == 0 {
			delete(a.servers, id)
			delete(a.usage, id)
		}
	}
}

// release reports new releases.
func (a *Assigner) release() []Command {
	current := ReleaseSlots{Epoch: a.releasedEpoch(), StillBusy: a.stillBusy()}
	unchanged := current.Epoch == a.wasReleased.Epoch && slices.Equal(current.StillBusy, a.wasReleased.StillBusy)
	if unchanged {
		return nil
	}
	a.wasReleased = current
	return []Command{current}
}

// releasedEpoch returns the epoch up to which all lost slots are released, except those still busy. A leaving member
// without work has released everything, also what a later record takes from it.
func (a *Assigner) releasedEpoch() describer.Epoch {
	if !a.leaving || a.countedShares != a.sharesVersion {
		return a.released
	}
	for _, known := range a.servers {
		if known.busy > 0 {
			return a.released
		}
	}
	return allEpochs
}

func (a *Assigner) stillBusy() []ServerSlots {
	var slots []ServerSlots
	for id, known := range a.servers {
		if known.still != 0 {
			slots = append(slots, ServerSlots{BackendServer: id, Slots: known.still})
		}
	}
	slices.SortFunc(slots, func(x, y ServerSlots) int {
		if x.BackendServer < y.BackendServer {
			return -1
		}
		return 1
	})
	return slots
}
