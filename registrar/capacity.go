package registrar

import (
	"context"
	"sync"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/dispatcher"
)

// capacity is how many slots and connections each backend server has. The slot ownership only learns of growth: it
// keeps the largest number of slots so far, and the shares are cut to the present number. The owner of a slot does
// not depend on the number of slots, so that a cut needs no agreement with other members.
type capacity struct {
	// mu orders the changes of the shares.
	mu sync.Mutex
	// posting orders the events to the slot ownership; otherwise one with an earlier capacity could come last.
	posting     sync.Mutex
	slots       int
	connections int
	largest     int

	// granted are the shares that the slot ownership last gave out, to owner under the record adopted.
	granted assigner.ChangeShares
	adopted assigner.Assignment
	owner   assigner.Owner
}

// set changes the capacity and reports whether the slot ownership must learn of it.
func (c *capacity) set(slots, connections int) bool {
	c.slots, c.connections = min(slots, assigner.MaxSlots), connections
	grown := c.slots > c.largest
	c.largest = max(c.largest, c.slots)
	return grown
}

// cut returns a share at the present capacity. Which of the granted slots are beyond the capacity is not known; as
// many as can be are taken to be, so that a transition never gives too much.
func (c *capacity) cut(share assigner.Share) dispatcher.Share {
	within, beyond := 0, 0
	for slot := range c.largest {
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

// SetCapacity changes the slots and connections of each backend server without a new epoch. Requests in slots beyond
// a smaller capacity end; no new ones start there.
func (r *Registrar) SetCapacity(slots, connections int) {
	r.capacity.mu.Lock()
	changed := r.capacity.slots != min(slots, assigner.MaxSlots) || r.capacity.connections != connections
	grown := r.capacity.set(slots, connections)
	if changed {
		r.giveShares()
	}
	r.capacity.mu.Unlock()
	if grown {
		r.postServers(r.tomb.Context(context.Background()))
	}
}

// Capacity returns the slots and connections with which this instance reckons for each backend server.
func (r *Registrar) Capacity() (slots, connections int) {
	r.capacity.mu.Lock()
	defer r.capacity.mu.Unlock()
	return r.capacity.slots, r.capacity.connections
}

// giveShares passes on the granted shares at the present capacity; the lock of the capacity must be held.
func (r *Registrar) giveShares() {
	shares := Shares{Version: r.capacity.granted.Version}
	for _, share := range r.capacity.granted.Shares {
		if cut := r.capacity.cut(share); cut.Slots > 0 {
			shares.Changed.Shares = append(shares.Changed.Shares, cut)
		}
	}
	r.mu.Lock()
	r.shares = shares
	r.mu.Unlock()
	r.hooks.shares(shares)
}

// postServers passes the zone's backend servers to the slot ownership.
func (r *Registrar) postServers(ctx context.Context) {
	r.capacity.posting.Lock()
	defer r.capacity.posting.Unlock()
	r.capacity.mu.Lock()
	slots, connections := r.capacity.largest, r.capacity.connections
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
