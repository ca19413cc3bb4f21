package assigner

import (
	"maps"
	"slices"
	"time"
)

// apply updates the state with the content of an event.
func (a *Assigner) apply(now time.Time, event Event) {
	switch event := event.(type) {
	case ZoneRead:
		a.readZone(now, event)
	case WriteCompleted:
		a.endWrite(event)
	case LeaseRenewed:
		a.renewLease(event)
	case LeaseLost:
		a.lease.id = 0
	case StoreChanged:
		a.reachable = event.Reachable
	case HeartbeatReceived:
		a.receiveHeartbeat(now, event.Heartbeat)
	case PeerRefused:
		a.peer(event.Owner).exited = true
	case PeerUnresponsive:
		a.peer(event.Owner).lastHeartbeatAt = time.Time{}
	case DeclaredDead:
		a.declaredDead[event.Owner.Instance] = max(a.declaredDead[event.Owner.Instance], event.Owner.Incarnation)
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
	if a.recordRead && read.Version < a.version {
		return
	}
	a.recordRead = true
	a.reread = false
	a.updateRecord(read.Record, read.Version)
	a.leases, a.leasesVersion = read.Leases, read.Version
	a.trackAbsentLeases(now)
	a.leasesAt = now
	a.dropUnreferenced()
}

// updateRecord stores a record that was read or written. It ends the write in progress if the record shows the outcome
// of that write.
func (a *Assigner) updateRecord(record Assignment, version int64) {
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
	if sent.completed {
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	}
}

// trackAbsentLeases records since when each member has had no lease. After a gap of more than TakeoverMargin between
// two reads, the time starts again, because a member may have held a lease in between.
func (a *Assigner) trackAbsentLeases(now time.Time) {
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

// dropUnreferenced removes the state of peers that appear in no known record and hold no lease, and the clearances of
// owners that are no longer listed as earlier holders.
func (a *Assigner) dropUnreferenced() {
	for owner := range a.peers {
		mentioned := a.record.Has(owner) || a.adopted.Has(owner) || slices.Contains(a.leases, owner) ||
			slices.ContainsFunc(a.record.Previous, func(held Holding) bool { return held.Owner == owner }) ||
			slices.ContainsFunc(a.adopted.Previous, func(held Holding) bool { return held.Owner == owner })
		if !mentioned {
			delete(a.peers, owner)
		}
	}
	maps.DeleteFunc(a.cleared, func(cleared clearance, _ bool) bool {
		return !slices.ContainsFunc(a.record.Previous, func(held Holding) bool { return held.Owner == cleared.owner }) &&
			!slices.ContainsFunc(a.adopted.Previous, func(held Holding) bool { return held.Owner == cleared.owner })
	})
}

// endWrite processes the result of the write in progress. A newer record than the one that the write expected may have
// been read before the result arrived.
func (a *Assigner) endWrite(completed WriteCompleted) {
	sent := a.write
	if sent == nil || sent.record.WriteID != completed.WriteID {
		return
	}
	overwritten := a.version > sent.version
	switch {
	case completed.Result == Written && !overwritten:
		a.updateRecord(sent.record, completed.Version)
	case completed.Result == Written:
		a.lease.confirmed = sent.lease
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	case completed.Result == Conflicted && !sent.responseLost:
		a.write = nil
		a.reread = !overwritten
	case overwritten:
		a.removed = a.removed || sent.record.Has(a.self.Owner)
		a.write = nil
	default:
		sent.completed, sent.responseLost = true, true
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

// receiveHeartbeat records a heartbeat of a peer. A newer incarnation at the address of a member proves that the
// member's process has ended. A heartbeat with a lower epoch or released epoch than the last one was delayed; it does
// not replace the last one.
func (a *Assigner) receiveHeartbeat(now time.Time, heartbeat Heartbeat) {
	if heartbeat.Instance == a.self.Instance {
		return
	}
	for _, member := range a.record.Members {
		replaced := member.Instance == heartbeat.Instance && member.Incarnation < heartbeat.Incarnation &&
			member.Address == heartbeat.Address
		if replaced {
			a.peer(member.Owner).exited = true
		}
	}
	sender := a.peer(heartbeat.Owner)
	sender.lastHeartbeatAt = now
	sender.exited = false
	sender.epoch = max(sender.epoch, heartbeat.Epoch)
	sender.holdEpoch = max(sender.holdEpoch, heartbeat.HoldEpoch)
	if heartbeat.Epoch < sender.heartbeat.Epoch || heartbeat.ReleasedEpoch < sender.heartbeat.ReleasedEpoch {
		return
	}
	heartbeat.Leaving = heartbeat.Leaving || sender.heartbeat.Leaving
	sender.heartbeat = heartbeat
}

func (a *Assigner) replaceServers(servers []Server) {
	for _, backend := range a.servers {
		backend.listed = false
	}
	a.serverIDs = a.serverIDs[:0]
	for _, listed := range servers {
		backend := a.servers[listed.ID]
		if backend == nil {
			backend = &server{base: PositionOf(listed.ID, 0)}
			a.servers[listed.ID] = backend
		}
		backend.Server, backend.listed = listed, true
		backend.owned = a.adopted.owns(a.self.Owner, listed)
		a.serverIDs = append(a.serverIDs, listed.ID)
	}
}
