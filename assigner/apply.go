package assigner

import (
	"maps"
	"slices"
	"time"
)

// apply records what an event says.
func (a *Assigner) apply(now time.Time, event Event) {
	switch event := event.(type) {
	case ZoneRead:
		a.readZone(now, event)
	case WriteAnswered:
		a.endWrite(event)
	case LeaseRenewed:
		a.renewLease(event)
	case LeaseLost:
		a.lease.id = 0
	case StoreChanged:
		a.reachable = event.Reachable
	case HeartbeatReceived:
		a.hear(now, event.Heartbeat)
	case PeerRefused:
		a.peer(event.Owner).gone = true
	case PeerSilent:
		a.peer(event.Owner).heardAt = time.Time{}
	case DeclaredDead:
		a.declared[event.Owner.Instance] = max(a.declared[event.Owner.Instance], event.Owner.Incarnation)
	case BusyChanged:
		a.countBusy(event)
	case UsageReported:
		if event.SampledAt.After(a.usage[event.BackendServer].SampledAt) {
			a.usage[event.BackendServer] = event
		}
	case ServersChanged:
		a.replaceServers(event.Servers)
	case LeaveRequested:
		a.leaving = true
	case Ticked:
	}
}

func (a *Assigner) readZone(now time.Time, read ZoneRead) {
	if a.known && read.Version < a.version {
		return
	}
	a.known = true
	a.reread = false
	a.learn(read.Record, read.Version)
	a.leases, a.leasesVersion = read.Leases, read.Version
	a.noteAbsent(now)
	a.leasesAt = now
	a.forget()
}

// learn takes over a record that was read or written.
func (a *Assigner) learn(record Assignment, version int64) {
	a.record, a.version = record, version
	if version > a.unresolvedTakeover {
		a.unresolvedTakeover = 0
	}
	sent := a.write
	if sent == nil || version <= sent.version {
		return
	}
	if record.WriteID == sent.record.WriteID {
		a.lease.confirmed = sent.lease
		a.write = nil
		return
	}
	if sent.answered {
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	}
}

// noteAbsent notes since when members have no lease. After a gap between two reads it starts anew, because a member
// may have had a lease in between.
func (a *Assigner) noteAbsent(now time.Time) {
	gap := now.Sub(a.leasesAt) > TakeoverMargin
	absent := make(map[Owner]time.Time)
	for _, member := range a.record.Members {
		if slices.Contains(a.leases, member.Owner) {
			continue
		}
		since, ok := a.absentSince[member.Owner]
		if !ok || gap {
			since = now
		}
		absent[member.Owner] = since
	}
	a.absentSince = absent
}

// forget drops peers that the record no longer mentions and that were not heard of recently.
func (a *Assigner) forget() {
	for owner := range a.peers {
		mentioned := a.record.Has(owner) || a.adopted.Has(owner) || slices.Contains(a.leases, owner) ||
			slices.ContainsFunc(a.record.Previous, func(held Holding) bool { return held.Owner == owner }) ||
			slices.ContainsFunc(a.adopted.Previous, func(held Holding) bool { return held.Owner == owner })
		if !mentioned {
			delete(a.peers, owner)
		}
	}
	maps.DeleteFunc(a.cleared, func(known clearance, _ bool) bool {
		return !slices.ContainsFunc(a.record.Previous, func(held Holding) bool { return held.Owner == known.owner }) &&
			!slices.ContainsFunc(a.adopted.Previous, func(held Holding) bool { return held.Owner == known.owner })
	})
}

func (a *Assigner) endWrite(answer WriteAnswered) {
	sent := a.write
	if sent == nil || sent.record.WriteID != answer.WriteID {
		return
	}
	overwritten := a.version > sent.version
	switch {
	case answer.Result == Written && !overwritten:
		a.learn(sent.record, answer.Version)
	case answer.Result == Written:
		a.lease.confirmed = sent.lease
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	case answer.Result == Conflicted && !sent.unanswered:
		a.write = nil
		a.reread = !overwritten
	case overwritten:
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	default:
		sent.answered, sent.unanswered = true, true
		a.reread = true
	}
}

func (a *Assigner) renewLease(renewed LeaseRenewed) {
	if renewed.Incarnation != a.self.Incarnation {
		return
	}
	a.lease.id = renewed.Lease
	a.lease.deadline = renewed.Before.Add(LeaseTTL - LeaseMargin)
}

func (a *Assigner) hear(now time.Time, heartbeat Heartbeat) {
	if heartbeat.Instance == a.self.Instance {
		return
	}
	for _, member := range a.record.Members {
		replaced := member.Instance == heartbeat.Instance && member.Incarnation < heartbeat.Incarnation &&
			member.Address == heartbeat.Address
		if replaced {
			a.peer(member.Owner).gone = true
		}
	}
	sender := a.peer(heartbeat.Owner)
	sender.heardAt = now
	sender.gone = false
	sender.epoch = max(sender.epoch, heartbeat.Epoch)
	sender.hold = max(sender.hold, heartbeat.HoldEpoch)
	if heartbeat.Epoch < sender.heartbeat.Epoch || heartbeat.ReleasedEpoch < sender.heartbeat.ReleasedEpoch {
		return
	}
	heartbeat.Leaving = heartbeat.Leaving || sender.heartbeat.Leaving
	sender.heartbeat = heartbeat
}

func (a *Assigner) replaceServers(servers []Server) {
	for _, known := range a.servers {
		known.listed = false
	}
	a.order = a.order[:0]
	for _, listed := range servers {
		known := a.servers[listed.ID]
		if known == nil {
			known = &server{base: PositionOf(listed.ID, 0)}
			a.servers[listed.ID] = known
		}
		known.Server, known.listed = listed, true
		known.owned = a.adopted.owns(a.self.Owner, listed)
		a.order = append(a.order, listed.ID)
	}
}
