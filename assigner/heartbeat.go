package assigner

import "egretring.example/egretring/describer"

// Heartbeat is the part of a heartbeat that concerns slot ownership.
type Heartbeat struct {
	Owner
	Address string
	// Epoch is the epoch that the sender has adopted.
	Epoch describer.Epoch
	// KnownEpoch is the newest epoch that the sender has read.
	KnownEpoch describer.Epoch
	// ReleasedEpoch is the epoch up to which the sender has released all slots that it lost, except those in StillBusy.
	ReleasedEpoch describer.Epoch
	StillBusy     []ServerSlots `json:",omitempty"`
	// StoreReachable is true when the store responds to the sender.
	StoreReachable bool
	// HoldEpoch is the newest epoch whose hold agreement the sender has acknowledged.
	HoldEpoch describer.Epoch
	// Quiesced lists the backend servers on which no member may start work now; only the placing member (see
	// Assignment.PlacingMember) sets it.
	Quiesced []describer.BackendServerID `json:",omitempty"`
	// Leaving is true when the sender is leaving and will start no more work.
	Leaving bool
}

// releases reports whether the heartbeat shows that its sender released a slot that it held until an epoch. It does not
// if the sender follows a later epoch than the reader's, because the sender may have been assigned the slot again in
// that epoch.
func (h Heartbeat) releases(server describer.BackendServerID, slot int, until, readerEpoch describer.Epoch) bool {
	if h.ReleasedEpoch < until || h.Epoch > readerEpoch {
		return false
	}
	for _, busy := range h.StillBusy {
		if busy.BackendServer == server && busy.Slots.Has(slot) {
			return false
		}
	}
	return true
}

// releasesAll reports whether the heartbeat shows that its sender released all slots that it held until an epoch.
func (h Heartbeat) releasesAll(until, readerEpoch describer.Epoch) bool {
	return h.ReleasedEpoch >= until && h.Epoch <= readerEpoch && len(h.StillBusy) == 0
}
