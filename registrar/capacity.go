package registrar

import (
	"context"
	"sync"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/dispatcher"
)

// capacity is how many slots and connections each backend server has. The slot ownership state machine is notified of
// increases only: it keeps the largest number of slots so far, and the shares are limited to the current number outside
// of it.
// The owner of a slot does not depend on the number of slots, so that a decrease needs no agreement with other members.
type capacity struct {
	// mu guards the capacity and the granted shares, and serializes changes of the published shares.
	mu sync.Mutex
	// postMu serializes the events to the state machine; otherwise one with an earlier capacity could arrive last.
	postMu      sync.Mutex
	slots       int
	connections int
	// largestSlots is the largest number of slots so far.
	largestSlots int

	// granted are the shares that the state machine last granted; owner is the owner that got them and adopted the
	// record that it followed.
	granted assigner.ChangeShares
	adopted assigner.Assignment
	owner   assigner.Owner
}

// set changes the capacity and reports whether the state machine must be notified.
func (c *capacity) set(slots, connections int) bool {
	c.slots, c.connections = min(slots, assigner.MaxSlots), connections
	increased := c.slots > c.largestSlots
	c.largestSlots = max(c.largestSlots, c.slots)
	return increased
}

// limit limits a share to the current capacity. It is not known which of the owned slots are granted, so as many
// granted slots as possible are assumed to lie beyond the capacity. The result is therefore never too large while slots
// are still being handed over.
func (c *capacity) limit(share assigner.Share) dispatcher.Share {
	within, beyond := 0, 0
	for slot := range c.largestSlots {
		position := assigner.PositionOf(share.BackendServer, slot)
		if position >= len(c.adopted.Positions) || c.adopted.Positions[position] != c.owner {
			continue
		}
		if slot < c.slots {
			within++
		} else {
			beyond++
		}
	}
	slots := max(0, min(within, share.Slots-beyond))
	if slots == 0 {
		return dispatcher.Share{BackendServer: share.BackendServer}
	}
	return dispatcher.Share{
		BackendServer: share.BackendServer, Slots: slots, Connections: c.connections / c.slots * slots,
	}
}

// SetCapacity changes the slots and connections of each backend server without a new epoch. When the capacity
// decreases, requests in slots beyond it run to their end, and no new ones start there.
func (r *Registrar) SetCapacity(slots, connections int) {
	r.capacity.mu.Lock()
	changed := r.capacity.slots != min(slots, assigner.MaxSlots) || r.capacity.connections != connections
	grown := r.capacity.set(slots, connections)
	if changed {
		r.publishShares()
	}
	r.capacity.mu.Unlock()
	if grown {
		r.postServers(r.tomb.Context(context.Background()))
	}
}

// Capacity returns the slots and connections that this instance assumes for each backend server.
func (r *Registrar) Capacity() (slots, connections int) {
	r.capacity.mu.Lock()
	defer r.capacity.mu.Unlock()
	return r.capacity.slots, r.capacity.connections
}

// publishShares passes the granted shares, limited to the current capacity, to the request path. The lock of the
// capacity must be held.
func (r *Registrar) publishShares() {
	shares := Shares{Version: r.capacity.granted.Version}
	for _, share := range r.capacity.granted.Shares {
		if limited := r.capacity.limit(share); limited.Slots > 0 {
			shares.Changed.Shares = append(shares.Changed.Shares, limited)
		}
	}
	r.mu.Lock()
	r.shares = shares
	r.mu.Unlock()
	r.hooks.shares(shares)
}

// postServers passes the zone's backend servers to the state machine.
func (r *Registrar) postServers(ctx context.Context) {
	r.capacity.postMu.Lock()
	defer r.capacity.postMu.Unlock()
	r.capacity.mu.Lock()
	slots, connections := r.capacity.largestSlots, r.capacity.connections
	r.capacity.mu.Unlock()
	r.mu.Lock()
	servers := r.servers
	r.mu.Unlock()
	event := assigner.ServersChanged{}
	for _, server := range servers {
		event.Servers = append(event.Servers, assigner.Server{ID: server.ID, Slots: slots, Connections: connections})
	}
	r.post(ctx, event)
}
