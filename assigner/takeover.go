package assigner

import (
	"slices"
	"time"
)

// takeoverCandidates returns the members whose positions may be reassigned.
func (a *Assigner) takeoverCandidates(now time.Time) []Owner {
	var owners []Owner
	for _, member := range a.others(a.record) {
		if a.mayTakeOver(now, member) && !a.awaitsReplacement(now, member) {
			owners = append(owners, member.Owner)
		}
	}
	return owners
}

// mayTakeOver reports whether a member has permanently lost its right to start work.
func (a *Assigner) mayTakeOver(now time.Time, member Member) bool {
	peer := a.peer(member.Owner)
	if peer.heartbeat.Leaving {
		return true
	}
	declared := member.Incarnation <= a.declaredDead[member.Instance]
	return a.leaseExpired(now, member.Owner) && (peer.exited || declared || a.isWitness(member))
}

// leaseExpired reports whether a member had no lease when the current version of the record was read and for at least
// TakeoverMargin before. Leases that were read with an earlier version are no proof, because a member that was granted
// a new lease confirms it by a write of the record. Only leases that were read by the current event count, so that no
// takeover is sent during an outage of the store, where the missing response would prevent a hold agreement.
func (a *Assigner) leaseExpired(now time.Time, owner Owner) bool {
	since, absent := a.absentSince[owner]
	current := a.leasesVersion == a.version && a.leasesAt.Equal(now)
	return absent && current && now.Sub(since) >= TakeoverMargin
}

// isWitness reports whether this member can rule out that another member relies on a hold agreement. The other member
// can rely only on an agreement of the epoch that it has adopted. That epoch is no earlier than the one that it
// reported and the one in which it joined. Such an agreement needs the acknowledgement of this member if this member
// had joined by then.
func (a *Assigner) isWitness(member Member) bool {
	self, ok := a.record.member(a.self.Owner)
	if !ok {
		return false
	}
	followed := max(a.peer(member.Owner).epoch, member.Joined)
	return self.Joined <= followed && a.acknowledgedEpoch < followed
}

// awaitsReplacement reports whether a new incarnation of the instance has registered and still has time to take over
// the positions itself; see ReplacementWait.
func (a *Assigner) awaitsReplacement(now time.Time, member Member) bool {
	registered := slices.ContainsFunc(a.leases, func(owner Owner) bool {
		return owner.Instance == member.Instance && owner.Incarnation > member.Incarnation
	})
	return registered && now.Sub(a.absentSince[member.Owner]) < ReplacementWait
}

// join returns the record with this instance as a member.
func (a *Assigner) join(now time.Time) (Assignment, bool) {
	earlier, found := a.record.memberOf(a.self.Instance)
	if found {
		// This process has the address of the earlier incarnation, so the earlier process has ended.
		replaced := earlier.Address == a.self.Address && a.leaseExpired(now, earlier.Owner)
		if !replaced && !a.mayTakeOver(now, earlier) {
			return Assignment{}, false
		}
		return a.record.withReplacement(earlier.Owner, a.self, now), true
	}
	if len(a.record.Members) >= PositionCount || len(a.record.Previous) >= MaxHoldings {
		return Assignment{}, false
	}
	for _, member := range a.record.Members {
		if a.mayTakeOver(now, member) && !a.awaitsReplacement(now, member) {
			return a.record.withReplacement(member.Owner, a.self, now), true
		}
	}
	return a.record.withMember(a.self, now), true
}
