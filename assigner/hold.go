package assigner

import "time"

// agree acknowledges and concludes the hold agreement of the adopted epoch.
//
// An acknowledgement is a promise not to take over a member of that epoch as a witness. It is never withdrawn within
// the epoch, so that a late or repeated heartbeat cannot carry an acknowledgement that no longer holds. A new epoch
// ends it for each member that has adopted that epoch; see isWitness.
func (a *Assigner) agree(now time.Time) {
	epoch := a.adopted.Epoch
	if epoch == 0 || !a.adopted.Has(a.self.Owner) {
		return
	}
	if a.mayAcknowledge(now) {
		a.acknowledged = epoch
	}
	if a.acknowledged != epoch {
		return
	}
	for _, member := range a.others(a.adopted) {
		if a.peer(member.Owner).hold != epoch {
			return
		}
	}
	a.held = epoch
}

// mayAcknowledge reports whether the store is unreachable for all members and all hear each other. A takeover whose
// answer is missing forbids the acknowledgement, because it may still take effect.
func (a *Assigner) mayAcknowledge(now time.Time) bool {
	if a.reachable || a.unresolvedTakeover != 0 || a.record.Epoch != a.adopted.Epoch {
		return false
	}
	return a.zoneIsCutOff(now, a.adopted, func(heartbeat Heartbeat) bool {
		return heartbeat.Epoch == a.adopted.Epoch
	})
}

// mayExchangeHold reports whether a member that relies on the agreement of an earlier epoch may go on to the newest
// one without a lease: the store is unreachable for all, and all know that epoch and can agree on it.
func (a *Assigner) mayExchangeHold(now time.Time) bool {
	return !a.reachable && a.zoneIsCutOff(now, a.record, func(heartbeat Heartbeat) bool {
		return heartbeat.KnownEpoch == a.record.Epoch
	})
}

// zoneIsCutOff reports whether all other members of a record were heard recently, without a store.
func (a *Assigner) zoneIsCutOff(now time.Time, record Assignment, agrees func(Heartbeat) bool) bool {
	for _, member := range a.others(record) {
		known := a.peer(member.Owner)
		recent := !known.heardAt.IsZero() && now.Sub(known.heardAt) <= PeerTimeout
		if !recent || known.heartbeat.StoreReachable || !agrees(known.heartbeat) {
			return false
		}
	}
	return true
}
