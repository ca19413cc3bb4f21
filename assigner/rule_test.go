package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

var (
	self  = assigner.Member{Owner: assigner.Owner{Instance: "self", Incarnation: 1}, Address: "a", Joined: 3}
	other = assigner.Member{Owner: assigner.Owner{Instance: "other", Incarnation: 1}, Address: "b", Joined: 2}
	third = assigner.Member{Owner: assigner.Owner{Instance: "third", Incarnation: 1}, Address: "c", Joined: 2}
)

// member is an Assigner that follows epoch 5 of a zone with three members and has a confirmed lease.
type member struct {
	*assigner.Assigner
	now      time.Time
	commands []assigner.Command
	ids      int
}

// action changes the state of a member or its clock.
type action func(*member)

func newMember() *member {
	m := &member{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	m.Assigner = assigner.New(self, func() string {
		m.ids++
		return fmt.Sprint(m.ids)
	})
	m.deliver(
		assigner.ServersChanged{Servers: []assigner.Server{{ID: "backend-1", Slots: 8, Connections: 64}}},
		assigner.StoreChanged{Reachable: true},
		assigner.LeaseRenewed{Incarnation: 1, Lease: 1, Before: m.now},
		zoneRead(5, 10, self.Owner, other.Owner, third.Owner),
	)
	m.completeWrite(assigner.Written, 11)
	m.deliver(zoneRead(5, 11, self.Owner, other.Owner, third.Owner))
	return m
}

func (m *member) deliver(events ...assigner.Event) {
	for _, event := range events {
		m.commands = append(m.commands, m.Handle(m.now, event)...)
	}
}

func (m *member) lastWrite() assigner.WriteAssignment {
	for i := len(m.commands) - 1; i >= 0; i-- {
		if write, ok := m.commands[i].(assigner.WriteAssignment); ok {
			return write
		}
	}
	return assigner.WriteAssignment{}
}

func (m *member) completeWrite(result assigner.WriteResult, version int64) {
	m.deliver(assigner.WriteCompleted{WriteID: m.lastWrite().Record.WriteID, Result: result, Version: version})
}

func zoneRead(epoch describer.Epoch, version int64, leases ...assigner.Owner) assigner.ZoneRead {
	record := assigner.Assignment{Epoch: epoch, Members: []assigner.Member{self, other, third}}
	for i := range assigner.PositionCount {
		record.Positions = append(record.Positions, record.Members[i%3].Owner)
	}
	return assigner.ZoneRead{Record: record, Version: version, Leases: leases}
}

func events(list ...assigner.Event) action {
	return func(m *member) { m.deliver(list...) }
}

func wait(duration time.Duration) action {
	return func(m *member) { m.now = m.now.Add(duration) }
}

// renew keeps the member's lease valid.
func renew(m *member) {
	m.deliver(assigner.LeaseRenewed{Incarnation: 1, Lease: 1, Before: m.now})
}

func heartbeatOf(from assigner.Member, epoch, hold describer.Epoch, reachable bool) assigner.Event {
	return assigner.HeartbeatReceived{Heartbeat: assigner.Heartbeat{
		Owner: from.Owner, Address: from.Address, Epoch: epoch, KnownEpoch: epoch, ReleasedEpoch: epoch,
		StoreReachable: reachable, HoldEpoch: hold,
	}}
}

// readWithoutOther returns a read of the zone in which the member other has no lease.
func readWithoutOther(epoch describer.Epoch, version int64) assigner.Event {
	return zoneRead(epoch, version, self.Owner, third.Owner)
}

// expireOther makes the lease of the member other absent for the takeover margin.
func expireOther(epoch describer.Epoch, version int64) action {
	return func(m *member) {
		m.deliver(readWithoutOther(epoch, version))
		m.now = m.now.Add(assigner.TakeoverMargin)
		renew(m)
		m.deliver(readWithoutOther(epoch, version))
	}
}

// acknowledge makes the member acknowledge the hold agreement of an epoch.
func acknowledge(epoch describer.Epoch) action {
	return events(assigner.StoreChanged{}, heartbeatOf(other, epoch, 0, false), heartbeatOf(third, epoch, 0, false),
		assigner.StoreChanged{Reachable: true})
}

// conflict ends the write in progress with a conflict, so that the next read may cause another write.
func conflict(m *member) {
	m.completeWrite(assigner.Conflicted, 0)
	m.completeWrite(assigner.Conflicted, 0)
	m.deliver(readWithoutOther(5, 12))
}

// newEpoch confirms the write of the next epoch, which ends an acknowledged hold agreement.
func newEpoch(m *member) {
	m.completeWrite(assigner.Written, 12)
}

// TestTakeoverProofs guards against the takeover of a member that may still start work, and against a failed member
// that is never taken over. The basic rule is that a member is taken over when it is leaving, or when its lease is
// absent and its process is known to have ended, an operator declared it dead, or a witness (a member whose
// acknowledgement a hold agreement would need) rules out that it relies on one. A comment on a case names a further
// condition that the case needs, and the unsafe takeover that the condition prevents.
func TestTakeoverProofs(t *testing.T) {
	leaving := heartbeatOf(other, 5, 0, true).(assigner.HeartbeatReceived)
	leaving.Heartbeat.Leaving = true
	newer, moved := other, other
	newer.Incarnation, moved.Incarnation, moved.Address = 2, 2, "d"
	cases := map[string]struct {
		actions []action
		taken   bool
	}{
		"witness":           {[]action{events(heartbeatOf(other, 5, 0, true)), expireOther(5, 11)}, true},
		"lease just absent": {[]action{events(heartbeatOf(other, 5, 0, true), readWithoutOther(5, 11))}, false},
		"lease present":     {[]action{events(heartbeatOf(other, 5, 0, true)), wait(time.Minute), renew}, false},
		"acknowledged hold": {[]action{acknowledge(5), expireOther(5, 12), conflict}, false},
		"silent in a hold": {
			[]action{acknowledge(5), events(assigner.PeerUnresponsive{Owner: other.Owner}), expireOther(5, 12), conflict}, false,
		},
		"refused in a hold": {
			[]action{acknowledge(5), events(assigner.PeerRefused{Owner: other.Owner}), expireOther(5, 12), conflict}, true,
		},
		"declared dead in a hold": {
			[]action{acknowledge(5), events(assigner.DeclaredDead{Owner: other.Owner}), expireOther(5, 12), conflict}, true,
		},
		"newer incarnation at its address": {
			[]action{acknowledge(5), events(heartbeatOf(newer, 0, 0, true)), expireOther(5, 12), conflict}, true,
		},
		"newer incarnation elsewhere": {
			[]action{acknowledge(5), events(heartbeatOf(moved, 0, 0, true)), expireOther(5, 12), conflict}, false,
		},
		"leaving": {[]action{events(leaving)}, true},
		// A witness must have joined no later than the epoch that the other member follows. Otherwise the other member
		// could rely on a hold agreement of an epoch before the witness joined, which the witness need not acknowledge.
		"witness joined after the other's epoch": {
			[]action{events(heartbeatOf(other, 2, 0, true)), expireOther(5, 11)}, false,
		},
		// The epoch that a witness has acknowledged is compared with the epoch that the other member follows, not with
		// the epoch of the record. Otherwise a member could be taken over that still relies on the hold agreement of
		// epoch 5 while the record is at epoch 6.
		"hold of the epoch before the record's": {[]action{acknowledge(5), newEpoch, expireOther(6, 12)}, false},
		"hold ended by the next epoch": {
			[]action{acknowledge(5), newEpoch, events(heartbeatOf(other, 6, 0, true)), expireOther(6, 12)}, true,
		},
		// The absence of a lease counts only if it was read with the current version of the record; here the version
		// has since been replaced. Otherwise a member could be taken over that was granted a new lease after that read
		// and has confirmed it by a write of the record.
		"absence at an earlier version": {
			[]action{
				events(heartbeatOf(other, 5, 0, true), readWithoutOther(5, 11), assigner.LeaseLost{}, assigner.LeaseRenewed{
					Incarnation: 1, Lease: 2, Before: newMember().now.Add(assigner.TakeoverMargin),
				}), wait(assigner.TakeoverMargin), events(readWithoutOther(5, 11)),
				func(m *member) { m.completeWrite(assigner.Written, 12) },
			}, false,
		},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMember()
			for _, action := range example.actions {
				action(m)
			}
			written := m.lastWrite().Record
			require.Equal(t, example.taken, !written.Has(other.Owner))
			require.True(t, written.Has(third.Owner))
		})
	}
}

// TestRightToStart guards against a member that starts work without a right, and against a member that loses its right
// although a hold agreement was concluded.
func TestRightToStart(t *testing.T) {
	down := events(assigner.StoreChanged{}, heartbeatOf(other, 5, 0, false), heartbeatOf(third, 5, 0, false))
	newLease := func(m *member) {
		m.deliver(assigner.LeaseLost{}, assigner.LeaseRenewed{Incarnation: 1, Lease: 2, Before: m.now})
	}
	cases := map[string]struct {
		actions  []action
		mayStart bool
		hold     describer.Epoch
	}{
		"confirmed lease":      {[]action{wait(7 * time.Second)}, true, 0},
		"expired lease":        {[]action{wait(8 * time.Second)}, false, 0},
		"acknowledged by none": {[]action{down, wait(8 * time.Second)}, false, 5},
		"acknowledged by one":  {[]action{down, events(heartbeatOf(other, 5, 5, false)), wait(8 * time.Second)}, false, 5},
		"acknowledged by all": {
			[]action{
				down, events(heartbeatOf(other, 5, 5, false), heartbeatOf(third, 5, 5, false)), wait(time.Hour),
			}, true, 5,
		},
		"acknowledged for another epoch": {
			[]action{
				down, events(heartbeatOf(other, 5, 5, false), heartbeatOf(third, 4, 4, false)), wait(8 * time.Second),
			}, false, 5,
		},
		"leaving": {[]action{events(assigner.LeaveRequested{})}, false, 0},
		// A new lease gives the right to start work only once the member has confirmed it by a write of the record.
		// Otherwise the member could start work although a takeover that is based on the absence of its lease may still
		// be written.
		"new lease, not confirmed": {[]action{newLease}, false, 0},
		"new lease, confirmed":     {[]action{newLease, func(m *member) { m.completeWrite(assigner.Written, 12) }}, true, 0},
		"new lease, confirmation lost and found": {
			[]action{newLease, func(m *member) {
				sent := m.lastWrite().Record
				m.completeWrite(assigner.ResponseLost, 0)
				m.deliver(assigner.ZoneRead{Record: sent, Version: 12})
			}}, true, 0,
		},
		// A member does not acknowledge a hold agreement while the outcome of a takeover that it wrote is unknown.
		// Otherwise that takeover could take effect after the agreement was concluded, and remove a member that relies
		// on the agreement.
		"takeover without an answer": {
			[]action{
				events(heartbeatOf(other, 5, 0, true)), expireOther(5, 11),
				func(m *member) { m.completeWrite(assigner.ResponseLost, 0) }, down,
			}, true, 0,
		},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMember()
			for _, action := range example.actions {
				action(m)
			}
			require.Equal(t, example.mayStart, m.MayStart(m.now))
			require.Equal(t, example.hold, m.Heartbeat().HoldEpoch)
		})
	}
}

// TestEarlierHolder guards against using a slot that its earlier holder may still use. A heartbeat that reports the
// release of the slot counts only if its sender follows no later epoch than the member ("peer ahead"). Otherwise the
// member could use a slot that the sender was assigned again in an epoch that the member does not know.
func TestEarlierHolder(t *testing.T) {
	since := newMember().now
	usage := func(sampled time.Duration, busy int, byOwner ...assigner.OwnerBusy) assigner.Event {
		return assigner.UsageReported{
			BackendServer: "backend-1", SampledAt: since.Add(sampled), BusySlots: busy, ByOwner: byOwner,
		}
	}
	for name, example := range map[string]struct {
		stopped bool
		event   assigner.Event
		slots   int
	}{
		"peer behind":                {false, heartbeatOf(other, 5, 0, true), 0},
		"peer at the same epoch":     {false, heartbeatOf(other, 6, 0, true), 1},
		"peer ahead":                 {false, heartbeatOf(other, 7, 0, true), 0},
		"usage of a running holder":  {false, usage(time.Minute, 0), 0},
		"sampled too early":          {true, usage(time.Second, 0), 0},
		"idle backend server":        {true, usage(2*time.Second, 0), 1},
		"work of unknown owners":     {true, usage(2*time.Second, 1), 0},
		"work of the earlier holder": {true, usage(2*time.Second, 1, assigner.OwnerBusy{Owner: other.Owner, Slots: 1}), 0},
		"work of another owner":      {true, usage(2*time.Second, 1, assigner.OwnerBusy{Owner: third.Owner, Slots: 1}), 1},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMember()
			read := zoneRead(6, 12, self.Owner, other.Owner, third.Owner)
			moved := assigner.PositionOf("backend-1", 0)
			for read.Record.Positions[moved] != other.Owner {
				moved++
			}
			for i := range read.Record.Positions {
				read.Record.Positions[i] = third.Owner
			}
			read.Record.Positions[moved] = self.Owner
			read.Record.Previous = []assigner.Holding{{
				Position: moved, Owner: other.Owner, Until: 6, Stopped: example.stopped, Since: since,
			}}
			m.deliver(read, example.event)
			total := 0
			for _, command := range m.commands {
				if changed, ok := command.(assigner.ChangeShares); ok {
					total = 0
					for _, share := range changed.Shares {
						total += share.Slots
					}
				}
			}
			require.Equal(t, example.slots, total)
		})
	}
}
