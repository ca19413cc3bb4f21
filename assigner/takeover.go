package assigner

import (
	"slices"
	"time"
)

// takeable returns the members whose positions may be reassigned.
func (a *Assigner) takeable(now time.Time) []Owner {
	var owners []Owner
	for _, member := range a.others(a.record) {
		if a.mayTake(now, member) && !a.awaitsReplacement(now, member) {
			owners = append(owners, member.Owner)
		}
	}
	return owners
}

// mayTake reports whether a member has lost its right to start work for good.
func (a *Assigner) mayTake(now time.Time, member Member) bool {
	known := a.peer(member.Owner)
	if known.heartbeat.Leaving {
		return true
	}
	declared := member.Incarnation <= a.declared[member.Instance]
	return a.leaseExpired(now, member.Owner) && (known.gone || declared || a.isWitness(member))
}

// leaseExpired reports whether a member had no lease when the record's current version was read, and for the takeover
// margin before. Leases that were read with an earlier version prove nothing: a member that was granted a new lease
// confirms it by a write of the record. Only leases that were read just now count, so that a takeover is not sent into
// an outage of the store, where the missing answer would prevent a hold agreement.
func (a *Assigner) leaseExpired(now time.Time, owner Owner) bool {
	since, absent := a.absentSince[owner]
	current := a.leasesVersion == a.version && a.leasesAt.Equal(now)
	return absent && current && now.Sub(since) >= TakeoverMargin
}

// isWitness reports whether this member knows that another relies on no hold agreement. The other can rely only on an
// agreement of the epoch that it follows, which is at least the one that it reported and the one in which it joined.
// Such an agreement needs the acknowledgement of this member if it was a member by then.
func (a *Assigner) isWitness(member Member) bool {
	self, ok := a.record.member(a.self.Owner)
	if !ok {
		return false
	}
	followed := max(a.peer(member.Owner).epoch, member.Joined)
	return self.Joined <= followed && a.acknowledged < followed
}

// awaitsReplacement reports whether a new incarnation of the instance is about to take the positions itself.
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
		// The process at this address is this one, so the earlier incarnation at the same address is gone.
		replaced := earlier.Address == a.self.Address && a.leaseExpired(now, earlier.Owner)
		if !replaced && !a.mayTake(now, earlier) {
			return Assignment{}, false
		}
		return a.record.withReplacement(earlier.Owner, a.self, now), true
	}
	if len(a.record.Members) >= PositionCount || len(a.record.Previous) >= MaxHoldings {
		return Assignment{}, false
	}
	for _, member := range a.record.Members {
		if a.mayTake(now, member) && !a.awaitsReplacement(now, member) {
			return a.record.withReplacement(member.Owner, a.self, now), true
		}
	}
	return a.record.withMember(a.self, now), true
}
