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
	// ReleasedEpoch is the epoch up to which the sender has released all slots that it lost, except StillBusy.
	ReleasedEpoch describer.Epoch
	StillBusy     []ServerSlots `json:",omitempty"`
	// StoreReachable says whether the store answers the sender.
	StoreReachable bool
	// HoldEpoch is the newest epoch whose hold agreement the sender has acknowledged.
	HoldEpoch describer.Epoch
	// Quiesced are the backend servers on which no member is to start work now; only the placing member names any.
	Quiesced []describer.BackendServerID `json:",omitempty"`
	// Leaving is the sender's promise to start no more work.
	Leaving bool
}

// releases reports whether the heartbeat shows that its sender gave up a slot that it held until an epoch. A sender
// that is ahead of the reader may have received the slot again in an epoch that the reader does not know.
func (h Heartbeat) releases(server describer.BackendServerID, slot int, until, known describer.Epoch) bool {
	if h.ReleasedEpoch < until || h.Epoch > known {
		return false
	}
	for _, busy := range h.StillBusy {
		if busy.BackendServer == server && busy.Slots.Has(slot) {
			return false
		}
	}
	return true
}

// releasesAll reports whether the heartbeat shows that its sender gave up all that it held until an epoch.
func (h Heartbeat) releasesAll(until, known describer.Epoch) bool {
	return h.ReleasedEpoch >= until && h.Epoch <= known && len(h.StillBusy) == 0
}
