package measurer

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/messenger"
)

func ownershipSweeps(uint64) []sweep {
	servers := []int{48, 153, 305, 611, 1_222}
	members := []int{1, 3, 8, 16, 32}
	return []sweep{
		{
			"µs a received heartbeat", "backend servers of the zone, 8 members", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 { return newOwnershipZone(membersLater, size).heartbeatTime() },
		},
		{
			"µs a received heartbeat", "members of the zone, 305 backend servers", members, membersToday, membersLater,
			func(size int) float64 { return newOwnershipZone(size, 305).heartbeatTime() },
		},
		{
			"µs a read of the zone", "backend servers of the zone, 8 members", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 { return newOwnershipZone(membersLater, size).readTime() },
		},
		{
			"µs a count of the busy slots (4 a second)", "backend servers of the zone, 8 members", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 { return newOwnershipZone(membersLater, size).countTime() },
		},
		{
			"bytes of one member's core", "backend servers of the zone, 2 members", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 {
				return heapBytes(func() any { return newOwnershipZone(2, size) }) / 2
			},
		},
		{
			"bytes of the assignment record", "members of the zone",
			[]int{1, 3, 8, 16, 32, 64},
			membersToday, membersLater,
			func(size int) float64 { return encodedBytes(newOwnershipZone(size, 16).record) },
		},
		{
			"bytes of a heartbeat", "backend servers with slots still busy", servers,
			0, serversInZoneLater,
			func(size int) float64 { return encodedBytes(heartbeatWith(size)) },
		},
		{
			"µs to encode and decode a heartbeat", "backend servers with slots still busy", servers,
			0, serversInZoneLater, heartbeatCodecTime,
		},
	}
}

func encodedBytes(value any) float64 {
	body, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return float64(len(body))
}

// heartbeatWith returns a heartbeat with long field values that lists a number of backend servers with slots still
// busy.
func heartbeatWith(stillBusy int) messenger.Heartbeat {
	heartbeat := messenger.Heartbeat{
		Heartbeat: assigner.Heartbeat{
			Owner:   assigner.Owner{Instance: "entry-instance-017", Incarnation: 1_780_000_000_000_000_000},
			Address: "10.20.30.40:7403", Epoch: 1_234, KnownEpoch: 1_234, ReleasedEpoch: 1_234, StoreReachable: true,
			HoldEpoch: 1_234,
		},
		AvailabilityZone: "hala-a", AppliedTicket: 9_490_000, FreeSlots: 1_222,
		Queued: [describer.ClassCount]int{100, 1_000, 10_000}, SentAt: epochStart,
	}
	for i := range stillBusy {
		heartbeat.StillBusy = append(heartbeat.StillBusy, assigner.ServerSlots{
			BackendServer: describer.BackendServerID(fmt.Sprintf("server-%05d", i)), Slots: 1 << (i % 8),
		})
	}
	return heartbeat
}

func heartbeatCodecTime(stillBusy int) float64 {
	heartbeat := heartbeatWith(stillBusy)
	return microsecondsEach(1_000, func(int) {
		body, err := json.Marshal(heartbeat)
		if err != nil {
			return
		}
		var decoded messenger.Heartbeat
		_ = json.Unmarshal(body, &decoded)
	})
}

// ownershipZone runs the assigners of all members of a zone against a simulated assignment record. Its constructor runs
// ownershipRounds rounds, after which the shares are settled.
type ownershipZone struct {
	now       time.Time
	assigners []*assigner.Assigner
	record    assigner.Assignment
	version   int64
	shares    []uint64
}

const (
	ownershipRounds = 40
	ownershipStep   = 500 * time.Millisecond
)

func newOwnershipZone(members, servers int) *ownershipZone {
	z := &ownershipZone{now: epochStart, shares: make([]uint64, members)}
	var listed []assigner.Server
	for _, server := range capacityServers(servers) {
		listed = append(listed, assigner.Server{ID: server.ID, Slots: 8, Connections: 64})
	}
	nonces := 0
	for i := range members {
		self := assigner.Member{
			Owner:   assigner.Owner{Instance: describer.InstanceID(fmt.Sprintf("entry-instance-%03d", i)), Incarnation: 1},
			Address: fmt.Sprintf("10.20.30.%d:7403", i),
		}
		z.assigners = append(z.assigners, assigner.New(self, func() string {
			nonces++
			return fmt.Sprintf("nonce-%020d", nonces)
		}))
		z.handle(i, assigner.ServersChanged{Servers: listed})
		z.handle(i, assigner.StoreChanged{Reachable: true})
	}
	for range ownershipRounds {
		z.now = z.now.Add(ownershipStep)
		for i := range z.assigners {
			z.round(i)
		}
	}
	return z
}

func (z *ownershipZone) handle(member int, event assigner.Event) {
	for _, command := range z.assigners[member].Handle(z.now, event) {
		switch c := command.(type) {
		case assigner.ChangeShares:
			z.shares[member] = c.Version
		case assigner.WriteAssignment:
			result := assigner.WriteCompleted{WriteID: c.Record.WriteID, Result: assigner.Conflicted}
			if c.Version == z.version {
				z.version++
				z.record = c.Record
				result.Result, result.Version = assigner.Written, z.version
			}
			z.handle(member, result)
		}
	}
}

// round lets a member renew its lease, read the zone, send a heartbeat to the other members and count its busy slots.
func (z *ownershipZone) round(member int) {
	z.handle(member, assigner.LeaseRenewed{Incarnation: 1, Lease: int64(member + 1), Before: z.now})
	z.handle(member, z.zoneRead())
	heartbeat := z.assigners[member].Heartbeat()
	for other := range z.assigners {
		if other != member {
			z.handle(other, assigner.HeartbeatReceived{Heartbeat: heartbeat})
		}
	}
	z.handle(member, assigner.BusyChanged{Shares: z.shares[member]})
}

func (z *ownershipZone) zoneRead() assigner.ZoneRead {
	read := assigner.ZoneRead{Record: z.record, Version: z.version}
	for _, member := range z.assigners {
		read.Leases = append(read.Leases, member.Self().Owner)
	}
	return read
}

// settled reports whether each member is in the record and may start work.
func (z *ownershipZone) settled() bool {
	return !slices.ContainsFunc(z.assigners, func(member *assigner.Assigner) bool {
		return !member.MayStart(z.now) || !z.record.Has(member.Self().Owner)
	})
}

func (z *ownershipZone) heartbeatTime() float64 {
	heartbeat := z.assigners[len(z.assigners)-1].Heartbeat()
	return microsecondsEach(5_000, func(int) {
		z.assigners[0].Handle(z.now, assigner.HeartbeatReceived{Heartbeat: heartbeat})
	})
}

func (z *ownershipZone) readTime() float64 {
	read := z.zoneRead()
	return microsecondsEach(5_000, func(int) { z.assigners[0].Handle(z.now, read) })
}

func (z *ownershipZone) countTime() float64 {
	counted := assigner.BusyChanged{Shares: z.shares[0]}
	return microsecondsEach(5_000, func(int) { z.assigners[0].Handle(z.now, counted) })
}
