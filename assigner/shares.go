package assigner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// adopt switches to the newest record. A member that relies on a hold agreement stays in the epoch of the agreement
// until it has a valid confirmed lease, because the agreement gives no right in a later epoch, or until all members can
// conclude an agreement for the new epoch; see mayMoveHold.
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
	if isMember && a.reliesOnHold() && !a.leaseValid(now) && !a.mayMoveHold(now) {
		return nil
	}
	a.adopted = a.record
	for _, backend := range a.servers {
		backend.owned = a.adopted.owns(a.self.Owner, backend.Server)
		backend.unreleased = (backend.unreleased | backend.granted) &^ backend.owned
		backend.granted &= backend.owned
	}
	return []Command{AdoptEpoch{Record: a.adopted}}
}

// grant adds owned slots that all earlier holders have released.
func (a *Assigner) grant() {
	for _, id := range a.serverIDs {
		backend := a.servers[id]
		missing := backend.owned &^ backend.granted
		if missing == 0 {
			continue
		}
		backend.granted |= missing &^ a.occupied(backend, missing)
	}
}

// occupied returns which of the slots an earlier holder may still use.
func (a *Assigner) occupied(backend *server, slots SlotSet) SlotSet {
	var occupied SlotSet
	for _, holding := range a.adopted.Previous {
		slot := backend.slotsOf(holding.Position)
		if slots&slot == 0 || a.isOwn(holding) {
			continue
		}
		if !a.isReleased(backend, holding) {
			occupied |= slot
		}
	}
	return occupied
}

func (a *Assigner) isReleased(backend *server, holding Holding) bool {
	slot := backend.slotOf(holding.Position)
	heartbeat := a.peer(holding.Owner).heartbeat
	return heartbeat.releases(backend.ID, slot, holding.Until, a.adopted.Epoch) || a.isCleared(holding, backend.ID)
}

// changeShares returns a command when the shares have changed. A member without the right to start work has no shares.
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
	for _, id := range a.serverIDs {
		backend := a.servers[id]
		slots := backend.granted.Len()
		if slots == 0 || slices.Contains(quiesced, id) {
			continue
		}
		connections := backend.Connections / backend.Slots * slots
		shares = append(shares, Share{BackendServer: id, Slots: slots, Connections: connections})
	}
	return shares
}

// countBusy records the slots that this member occupies and releases the lost slots that its work no longer needs.
func (a *Assigner) countBusy(counted BusyChanged) {
	for _, backend := range a.servers {
		backend.busy = 0
	}
	for _, busy := range counted.Busy {
		if backend := a.servers[busy.BackendServer]; backend != nil {
			backend.busy = busy.Slots
		}
	}
	a.countedShares = counted.Shares
	a.dropUnlisted()
	if counted.Shares < a.releaseShares {
		return
	}
	for _, backend := range a.servers {
		backend.unreleased = backend.unreleased.first(max(0, backend.busy-backend.granted.Len()))
	}
	a.released = a.adopted.Epoch
}

// dropUnlisted removes backend servers that are missing from the instance list and on which this member has no work.
// Only a count under the newest shares, which do not contain them, rules out that work was started on them.
func (a *Assigner) dropUnlisted() {
	if a.countedShares != a.sharesVersion {
		return
	}
	for id, backend := range a.servers {
		if !backend.listed && backend.busy == 0 && backend.unreleased == 0 {
			delete(a.servers, id)
			delete(a.usage, id)
		}
	}
}

// release returns a command when this member has released more slots.
func (a *Assigner) release() []Command {
	current := ReleaseSlots{Epoch: a.releasedEpoch(), StillBusy: a.stillBusy()}
	unchanged := current.Epoch == a.lastRelease.Epoch && slices.Equal(current.StillBusy, a.lastRelease.StillBusy)
	if unchanged {
		return nil
	}
	a.lastRelease = current
	return []Command{current}
}

// releasedEpoch returns the epoch up to which all lost slots are released, except those still busy. A leaving member
// without work has released all slots, including those that a later record takes from it.
func (a *Assigner) releasedEpoch() describer.Epoch {
	if !a.leaving || a.countedShares != a.sharesVersion {
		return a.released
	}
	for _, backend := range a.servers {
		if backend.busy > 0 {
			return a.released
		}
	}
	return allEpochs
}

func (a *Assigner) stillBusy() []ServerSlots {
	var slots []ServerSlots
	for id, backend := range a.servers {
		if backend.unreleased != 0 {
			slots = append(slots, ServerSlots{BackendServer: id, Slots: backend.unreleased})
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
