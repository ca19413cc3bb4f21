package server

import (
	"sync"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// capacityOfServer is what a backend server has for requests.
type capacityOfServer struct {
	slots       int
	connections int
}

// perSlot is how many connections each slot carries.
func (c capacityOfServer) perSlot() int {
	if c.slots == 0 {
		return 0
	}
	return c.connections / c.slots
}

// configuredCapacity returns the smallest capacity that any service states, because the services share the backend
// servers. Without a service there is none.
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

// capacityFollower makes the capacity follow the tickets. It shrinks at once and grows when all members of the zone
// have applied the ticket, so that the sum over the members never exceeds both the earlier and the new capacity.
type capacityFollower struct {
	mu      sync.Mutex
	known   bool
	wanted  capacityOfServer
	current capacityOfServer
	// ticket is the number of the ticket that changed wanted last.
	ticket int64
	// seen is the number of the newest ticket that was followed.
	seen int64
}

// follow takes over the capacity after a ticket and returns the one to use now.
func (f *capacityFollower) follow(wanted capacityOfServer, ticket int64) capacityOfServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ticket < f.seen {
		return f.current
	}
	f.seen = ticket
	if wanted != f.wanted {
		f.wanted, f.ticket = wanted, ticket
	}
	if !f.known || f.current == wanted {
		f.current, f.known = wanted, true
		return f.current
	}
	slots := min(f.current.slots, wanted.slots)
	f.current = capacityOfServer{slots: slots, connections: slots * min(f.current.perSlot(), wanted.perSlot())}
	return f.current
}

// grow returns the capacity to use when the members of the zone have applied all tickets up to a number.
func (f *capacityFollower) grow(applied int64) (capacityOfServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || f.current == f.wanted || applied < f.ticket {
		return f.current, false
	}
	f.current = f.wanted
	return f.current, true
}

// followCapacity applies the capacity of the configuration in force.
func (m *membership) followCapacity(state ticketer.State) {
	use := m.capacity.follow(configuredCapacity(state.Services()), state.Applied())
	m.setCapacity(use)
	m.growCapacity()
}

// growCapacity applies a larger capacity when all members of the zone know of it.
func (m *membership) growCapacity() {
	if use, grown := m.capacity.grow(m.appliedInZone()); grown {
		m.setCapacity(use)
	}
}

func (m *membership) setCapacity(use capacityOfServer) {
	if member := m.registrar.Load(); member != nil {
		member.SetCapacity(use.slots, use.connections)
	}
}

// appliedInZone returns the newest ticket that all members of the zone's assignment have applied; a member that was not
// heard of counts as having applied none.
func (m *membership) appliedInZone() int64 {
	member := m.registrar.Load()
	if member == nil {
		return 0
	}
	heard := make(map[describer.InstanceID]int64)
	for _, peer := range member.PeerTickets() {
		heard[peer.Instance] = peer.AppliedTicket
	}
	applied := m.appliedTicket()
	for _, other := range member.Assignment().Members {
		if other.Instance != m.daemon.self.ID {
			applied = min(applied, heard[other.Instance])
		}
	}
	return applied
}
