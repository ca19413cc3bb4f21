package server

import (
	"sync"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// capacityOfServer is the request capacity of a backend server.
type capacityOfServer struct {
	slots       int
	connections int
}

// connectionsPerSlot returns the number of connections per slot, rounded down.
func (c capacityOfServer) connectionsPerSlot() int {
	if c.slots == 0 {
		return 0
	}
	return c.connections / c.slots
}

// configuredCapacity returns the smallest capacity that any service states, because the services share the backend
// servers. It is zero without services.
func configuredCapacity(services []describer.Service) capacityOfServer {
	var smallest capacityOfServer
	for i, service := range services {
		if i == 0 || service.SlotsPerBackendServer < smallest.slots {
			smallest.slots = service.SlotsPerBackendServer
		}
		if i == 0 || service.ConnectionsPerBackendServer < smallest.connections {
			smallest.connections = service.ConnectionsPerBackendServer
		}
	}
	return smallest
}

// capacityRollout applies the capacity changes of tickets, which are the operators' changes of the configuration. It
// reduces the capacity immediately and increases it only when all members of the zone have applied the ticket, so that
// the sum of the members' shares never exceeds the larger of the earlier and the new capacity.
type capacityRollout struct {
	mu      sync.Mutex
	known   bool
	target  capacityOfServer
	current capacityOfServer
	// ticket is the number of the ticket that last changed target.
	ticket int64
	// newestTicket is the number of the newest ticket passed to update.
	newestTicket int64
}

// update sets the target capacity of a ticket and returns the capacity to use now. A ticket older than the newest one is
// ignored.
func (r *capacityRollout) update(target capacityOfServer, ticket int64) capacityOfServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ticket < r.newestTicket {
		return r.current
	}
	r.newestTicket = ticket
	if target != r.target {
		r.target, r.ticket = target, ticket
	}
	if !r.known || r.current == target {
		r.current, r.known = target, true
		return r.current
	}
	slots := min(r.current.slots, target.slots)
	r.current = capacityOfServer{
		slots: slots, connections: slots * min(r.current.connectionsPerSlot(), target.connectionsPerSlot()),
	}
	return r.current
}

// grow raises the capacity to the target once the members of the zone have applied all tickets up to the one that set
// it. It returns the capacity to use and whether it changed.
func (r *capacityRollout) grow(applied int64) (capacityOfServer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || r.current == r.target || applied < r.ticket {
		return r.current, false
	}
	r.current = r.target
	return r.current, true
}

// updateCapacity applies the capacity of the configuration in force.
func (m *membership) updateCapacity(state ticketer.State) {
	effective := m.capacity.update(configuredCapacity(state.Services()).withoutControl(), state.Applied())
	m.setCapacity(effective)
	m.growCapacity()
}

// growCapacity applies a larger capacity when all members of the zone have applied its ticket.
func (m *membership) growCapacity() {
	if effective, grown := m.capacity.grow(m.appliedInZone()); grown {
		m.setCapacity(effective)
	}
}

func (m *membership) setCapacity(effective capacityOfServer) {
	if member := m.registrar.Load(); member != nil {
		member.SetCapacity(effective.slots, effective.connections)
	}
}

// appliedInZone returns the newest ticket that all members of the zone's assignment have applied. A member without a
// recent heartbeat counts as having applied none.
func (m *membership) appliedInZone() int64 {
	member := m.registrar.Load()
	if member == nil {
		return 0
	}
	appliedByPeer := make(map[describer.InstanceID]int64)
	for _, peer := range member.PeerTickets() {
		appliedByPeer[peer.Instance] = peer.AppliedTicket
	}
	applied := m.appliedTicket()
	for _, other := range member.Assignment().Members {
		if other.Instance != m.daemon.self.ID {
			applied = min(applied, appliedByPeer[other.Instance])
		}
	}
	return applied
}
