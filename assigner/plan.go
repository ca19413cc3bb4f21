package assigner

import (
	"slices"
	"time"
)

// plan returns the next write of the record, if one is due. At most one write is in progress.
func (a *Assigner) plan(now time.Time) []Command {
	if !a.recordRead || a.reread || a.writeInProgress() {
		return nil
	}
	if a.leaving {
		return a.planLeave(now)
	}
	if !a.reachable || a.lease.id == 0 || !now.Before(a.lease.deadline) {
		return nil
	}
	record, due := a.nextRecord(now)
	if !due {
		return nil
	}
	return a.send(record)
}

// writeInProgress reports whether the result of a write is awaited. After a lost response the record is read again. If
// the write has not taken effect by then, another one follows that expects the same version, so that only one of them
// succeeds.
func (a *Assigner) writeInProgress() bool {
	return a.write != nil && !a.write.completed
}

// nextRecord returns the record that this member has to write next, if any: to join, to take over members, to end an
// acknowledged hold agreement by a new epoch, to confirm its lease or, as the placing member, to remove the earlier
// holdings once all of them may be removed.
func (a *Assigner) nextRecord(now time.Time) (Assignment, bool) {
	if !a.record.Has(a.self.Owner) {
		return a.join(now)
	}
	if candidates := a.takeoverCandidates(now); len(candidates) > 0 {
		return a.prune(now).without(candidates, now), true
	}
	if a.acknowledgedEpoch == a.record.Epoch {
		return a.prune(now).refreshed(now), true
	}
	if a.lease.confirmed != a.lease.id {
		return a.prune(now), true
	}
	placing, _ := a.record.PlacingMember()
	if placing != a.self.Owner || len(a.record.Previous) == 0 {
		return Assignment{}, false
	}
	pruned := a.prune(now)
	return pruned, len(pruned.Previous) == 0
}

// planLeave removes this member from the record and, once it has no work left, removes its earlier holdings too.
func (a *Assigner) planLeave(now time.Time) []Command {
	if a.record.Has(a.self.Owner) {
		return a.send(a.prune(now).without([]Owner{a.self.Owner}, now))
	}
	if a.releasedEpoch() != allEpochs {
		return nil
	}
	pruned := a.prune(now)
	if slices.ContainsFunc(a.record.Previous, a.isOwn) {
		return a.send(pruned)
	}
	a.departed = true
	return []Command{Depart{}}
}

func (a *Assigner) send(record Assignment) []Command {
	record = record.WithWriteID(a.newID())
	if a.takesOver(record) {
		a.unresolvedTakeover = a.version
	}
	responseLost := a.write != nil
	a.write = &write{record: record, version: a.version, lease: a.lease.id, responseLost: responseLost}
	return []Command{WriteAssignment{Record: record, Version: a.version}}
}

// takesOver reports whether a record removes another member.
func (a *Assigner) takesOver(record Assignment) bool {
	for _, member := range a.others(a.record) {
		if !record.Has(member.Owner) {
			return true
		}
	}
	return false
}

// prune returns the record without the earlier holdings that may be removed.
func (a *Assigner) prune(now time.Time) Assignment {
	kept := slices.DeleteFunc(slices.Clone(a.record.Previous), func(holding Holding) bool {
		return a.isRemovable(now, holding)
	})
	return a.record.withPrevious(kept)
}

func (a *Assigner) isOwn(holding Holding) bool {
	return holding.Owner == a.self.Owner
}

// isRemovable reports whether an earlier holding may be removed from the record: its owner has released all that it
// held, or the owner has stopped and the quarantine of the slots has ended.
func (a *Assigner) isRemovable(now time.Time, holding Holding) bool {
	if a.isOwn(holding) {
		return a.releasedEpoch() >= holding.Until && len(a.stillBusy()) == 0
	}
	if a.peer(holding.Owner).heartbeat.releasesAll(holding.Until, a.record.Epoch) {
		return true
	}
	if !holding.Stopped || now.Sub(holding.Since) < QuarantineMinimum {
		return false
	}
	for _, id := range a.serverIDs {
		if a.servers[id].slotsOf(holding.Position) != 0 && !a.isCleared(holding, id) {
			return false
		}
	}
	return true
}
