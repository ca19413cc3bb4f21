package assigner

import (
	"slices"

	"egretring.example/egretring/describer"
)

// clearance identifies a stopped owner and a backend server on which the owner has no work left.
type clearance struct {
	owner  Owner
	server describer.BackendServerID
}

// isCleared reports whether a usage report has shown that a stopped holder has no work left on a backend server. The
// report must have been sampled after the holder lost its right to start work.
func (a *Assigner) isCleared(holding Holding, id describer.BackendServerID) bool {
	key := clearance{owner: holding.Owner, server: id}
	if holding.Stopped && a.cleared[key] {
		return true
	}
	if !a.isReportedClear(holding, id) {
		return false
	}
	a.cleared[key] = true
	return true
}

func (a *Assigner) isReportedClear(holding Holding, id describer.BackendServerID) bool {
	report, ok := a.usage[id]
	if !ok || !holding.Stopped || !report.SampledAt.After(holding.Since.Add(SampleMargin)) {
		return false
	}
	return report.slotsOf(holding.Owner) == 0
}

// slotsOf returns how many slots the work of an owner may occupy.
func (u UsageReported) slotsOf(owner Owner) int {
	if u.ByOwner == nil {
		return u.BusySlots
	}
	slots := 0
	for _, busy := range u.ByOwner {
		if busy.Owner == owner {
			slots += busy.Slots
		}
	}
	return slots
}

// quarantine returns a command when the set of backend servers whose usage reports are needed has changed.
func (a *Assigner) quarantine() []Command {
	needed := a.quarantinedServers()
	if slices.Equal(needed, a.quarantined) {
		return nil
	}
	a.quarantined = needed
	return []Command{QuarantineServers{Servers: needed}}
}

// quarantinedServers returns the backend servers whose usage reports are needed. The placing member also needs the
// reports for slots of the other members, because it removes stopped holders from the record.
func (a *Assigner) quarantinedServers() []describer.BackendServerID {
	if !slices.ContainsFunc(a.adopted.Previous, func(holding Holding) bool { return holding.Stopped }) {
		return nil
	}
	placing, _ := a.adopted.PlacingMember()
	var needed []describer.BackendServerID
	for _, id := range a.serverIDs {
		backend := a.servers[id]
		slots := backend.owned &^ backend.granted
		if placing == a.self.Owner {
			slots = backend.all()
		}
		if a.isQuarantined(backend, slots) {
			needed = append(needed, id)
		}
	}
	return needed
}

func (a *Assigner) isQuarantined(backend *server, slots SlotSet) bool {
	for _, holding := range a.adopted.Previous {
		if holding.Stopped && slots&backend.slotsOf(holding.Position) != 0 && !a.isCleared(holding, backend.ID) {
			return true
		}
	}
	return false
}

// slotsOf returns the slots that belong to a position.
func (s *server) slotsOf(position int) SlotSet {
	slot := s.slotOf(position)
	if slot >= s.slotCount() {
		return 0
	}
	return SlotSet(0).With(slot)
}

// slotOf returns the slot that belongs to a position; it may exceed the slots of the backend server.
func (s *server) slotOf(position int) int {
	return (position - s.base + PositionCount) % PositionCount
}

func (s *server) all() SlotSet {
	var all SlotSet
	for slot := range s.slotCount() {
		all = all.With(slot)
	}
	return all
}
