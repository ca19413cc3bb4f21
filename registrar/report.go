package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/messenger"
)

// reports holds the newest heartbeat of each peer.
type reports struct {
	mu     sync.Mutex
	newest map[describer.InstanceID]report
}

type report struct {
	heartbeat  messenger.Heartbeat
	receivedAt time.Time
}

// PeerTicket is the number of the newest ticket that is in force at a peer.
type PeerTicket struct {
	Instance         describer.InstanceID
	AvailabilityZone describer.AvailabilityZoneID
	Address          string
	AppliedTicket    int64
}

// PeerHeartbeat is the newest heartbeat of a peer.
type PeerHeartbeat struct {
	Heartbeat messenger.Heartbeat
	At        time.Time
}

// RecentHeartbeats returns the newest heartbeats that are no older than assigner.PeerTimeout, ordered by instance.
func (r *Registrar) RecentHeartbeats() []PeerHeartbeat {
	var all []PeerHeartbeat
	for _, heartbeat := range r.reports.recent() {
		r.reports.mu.Lock()
		at := r.reports.newest[heartbeat.Instance].receivedAt
		r.reports.mu.Unlock()
		all = append(all, PeerHeartbeat{Heartbeat: heartbeat, At: at})
	}
	return all
}

// add records a heartbeat unless a later incarnation of the same instance has sent one.
func (r *reports) add(heartbeat messenger.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil {
		r.newest = make(map[describer.InstanceID]report)
	}
	if r.newest[heartbeat.Instance].heartbeat.Incarnation > heartbeat.Incarnation {
		return
	}
	r.newest[heartbeat.Instance] = report{heartbeat: heartbeat, receivedAt: time.Now()}
}

// recent returns the heartbeats that are no older than assigner.PeerTimeout, ordered by instance, and removes the
// others.
func (r *reports) recent() []messenger.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heartbeats []messenger.Heartbeat
	for instance, known := range r.newest {
		if time.Since(known.receivedAt) > assigner.PeerTimeout {
			delete(r.newest, instance)
			continue
		}
		heartbeats = append(heartbeats, known.heartbeat)
	}
	slices.SortFunc(heartbeats, func(x, y messenger.Heartbeat) int {
		return cmp.Compare(x.Instance, y.Instance)
	})
	return heartbeats
}

// PeerLoads returns the loads of the peers with a recent heartbeat that are not leaving.
func (r *Registrar) PeerLoads() dispatcher.PeersReported {
	var reported dispatcher.PeersReported
	for _, heartbeat := range r.reports.recent() {
		if heartbeat.Leaving {
			continue
		}
		reported.Loads = append(reported.Loads, dispatcher.PeerLoad{
			Instance:         heartbeat.Instance,
			AvailabilityZone: heartbeat.AvailabilityZone,
			SameZone:         heartbeat.AvailabilityZone == r.self.AvailabilityZone,
			FreeSlots:        heartbeat.FreeSlots,
			Queued:           heartbeat.Queued,
		})
	}
	return reported
}

// PeerTickets returns the newest tickets in force at the peers with a recent heartbeat.
func (r *Registrar) PeerTickets() []PeerTicket {
	var tickets []PeerTicket
	for _, heartbeat := range r.reports.recent() {
		tickets = append(tickets, PeerTicket{
			Instance: heartbeat.Instance, AvailabilityZone: heartbeat.AvailabilityZone,
			Address: heartbeat.Address, AppliedTicket: heartbeat.AppliedTicket,
		})
	}
	return tickets
}

// LeavingServers returns the backend servers that a peer reports as leaving, sorted and without duplicates.
func (r *Registrar) LeavingServers() []describer.BackendServerID {
	var leaving []describer.BackendServerID
	for _, heartbeat := range r.reports.recent() {
		leaving = append(leaving, heartbeat.LeavingServers...)
	}
	slices.Sort(leaving)
	return slices.Compact(leaving)
}
