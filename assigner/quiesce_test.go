package assigner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// stoppedRecord returns a ZoneRead with a record in which the member other was stopped, self and third share the
// positions, and placing holds position 0.
func stoppedRecord(m *member, placing assigner.Owner) assigner.ZoneRead {
	record := assigner.Assignment{Epoch: 6, Members: []assigner.Member{self, third}}
	for i := range assigner.PositionCount {
		owner := self.Owner
		if i%2 == 1 {
			owner = third.Owner
		}
		record.Positions = append(record.Positions, owner)
		if i%3 == 1 {
			record.Previous = append(record.Previous, assigner.Holding{
				Position: i, Owner: other.Owner, Until: 6, Stopped: true, Since: m.now,
			})
		}
	}
	record.Positions[0] = placing
	return assigner.ZoneRead{Record: record, Version: 12, Leases: []assigner.Owner{self.Owner, third.Owner}}
}

func sharedSlots(m *member) int {
	slots := 0
	for _, command := range m.commands {
		if changed, ok := command.(assigner.ChangeShares); ok {
			slots = 0
			for _, share := range changed.Shares {
				slots += share.Slots
			}
		}
	}
	return slots
}

// TestBusyServerLeavesQuarantine guards against slots of a failed owner that stay unusable for as long as the backend
// server has other work, because a usage report without owners cannot show whose work occupies the slots.
func TestBusyServerLeavesQuarantine(t *testing.T) {
	m := newMember()
	m.deliver(stoppedRecord(m, self.Owner))
	m.now = m.now.Add(3 * time.Second)
	renew(m)
	m.deliver(assigner.UsageReported{BackendServer: "backend-1", SampledAt: m.now, BusySlots: 5})
	require.Equal(t, []describer.BackendServerID{"backend-1"}, m.Assigner.Heartbeat().Quiesced)
	require.Zero(t, sharedSlots(m), "no work starts on a quiesced server")

	m.now = m.now.Add(2 * time.Second)
	m.deliver(assigner.UsageReported{BackendServer: "backend-1", SampledAt: m.now, BusySlots: 0}, assigner.Ticked{})
	m.deliver(assigner.Ticked{})
	require.Empty(t, m.Assigner.Heartbeat().Quiesced)
	require.Equal(t, 4, sharedSlots(m), "the slots of the stopped owner are in use again")
	m.deliver(assigner.UsageReported{BackendServer: "backend-1", SampledAt: m.now.Add(time.Second), BusySlots: 8})
	require.Equal(t, 4, sharedSlots(m), "later work of others does not bring the quarantine back")
}

// TestMemberFollowsQuiescence guards against a member that starts work on a backend server that the placing member has
// quiesced, and against a server that stays quiesced after the placing member has failed.
func TestMemberFollowsQuiescence(t *testing.T) {
	m := newMember()
	before := sharedSlots(m)
	record := stoppedRecord(m, third.Owner)
	record.Record.Previous = nil
	m.deliver(record)
	m.deliver(assigner.HeartbeatReceived{Heartbeat: assigner.Heartbeat{
		Owner: third.Owner, Epoch: 6, KnownEpoch: 6, ReleasedEpoch: 6,
		Quiesced: []describer.BackendServerID{"backend-1"},
	}})
	require.Zero(t, sharedSlots(m))
	m.now = m.now.Add(assigner.PeerTimeout + time.Millisecond)
	m.deliver(assigner.Ticked{})
	require.GreaterOrEqual(t, sharedSlots(m), before)
}
