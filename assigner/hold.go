package assigner

import "time"

// updateHold acknowledges and concludes the hold agreement of the adopted epoch. The agreement lets all members of an
// epoch continue to start work while the store is unreachable for all of them; it is concluded when every member has
// acknowledged it.
//
// A member that has acknowledged the agreement must not take over a member of that epoch as a witness; see isWitness.
// The acknowledgement is never withdrawn within the epoch, so that a delayed or repeated heartbeat cannot carry an
// acknowledgement that is no longer valid. A new epoch ends it for each member that has adopted that epoch.
func (a *Assigner) updateHold(now time.Time) {
	epoch := a.adopted.Epoch
	if epoch == 0 || !a.adopted.Has(a.self.Owner) {
		return
	}
	if a.mayAcknowledge(now) {
		a.acknowledgedEpoch = epoch
	}
	if a.acknowledgedEpoch != epoch {
		return
	}
	for _, member := range a.others(a.adopted) {
		if a.peer(member.Owner).holdEpoch != epoch {
			return
		}
	}
	a.heldEpoch = epoch
}

// mayAcknowledge reports whether the store is unreachable for this member and, according to recent heartbeats, for all
// other members, and whether all of them have adopted the same epoch. A takeover whose outcome is unknown rules out the
// acknowledgement, because it may still take effect.
func (a *Assigner) mayAcknowledge(now time.Time) bool {
	if a.reachable || a.unresolvedTakeover != 0 || a.record.Epoch != a.adopted.Epoch {
		return false
	}
	return a.peersLackStore(now, a.adopted, func(heartbeat Heartbeat) bool {
		return heartbeat.Epoch == a.adopted.Epoch
	})
}

// mayMoveHold reports whether a member that relies on the hold agreement of an earlier epoch may adopt the newest epoch
// without a lease. It may when the store is unreachable for all members and all of them know that epoch, so that they
// can conclude an agreement for it.
func (a *Assigner) mayMoveHold(now time.Time) bool {
	return !a.reachable && a.peersLackStore(now, a.record, func(heartbeat Heartbeat) bool {
		return heartbeat.KnownEpoch == a.record.Epoch
	})
}

// peersLackStore reports whether all other members of a record have sent a recent heartbeat that reports the store as
// unreachable and that satisfies agrees.
func (a *Assigner) peersLackStore(now time.Time, record Assignment, agrees func(Heartbeat) bool) bool {
	for _, member := range a.others(record) {
		peer := a.peer(member.Owner)
		recent := !peer.lastHeartbeatAt.IsZero() && now.Sub(peer.lastHeartbeatAt) <= PeerTimeout
		if !recent || peer.heartbeat.StoreReachable || !agrees(peer.heartbeat) {
			return false
		}
	}
	return true
}
