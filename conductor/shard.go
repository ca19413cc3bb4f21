package conductor

import (
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// shard is what the owner of one of several shards knows about the servers of the cell.
type shard struct {
	index int
	// homeOf returns the shard of a server that is not transferred; nil means that there is one shard.
	homeOf func(specifier.Server) int
	// transfers are the newest known transfers. Only this owner's transactions can take a server away from the shard, so
	// that an older view of the others only delays a receipt.
	transfers map[specifier.ServerID]Transfer
	// readRevision is a revision of the store up to which all transfers were read: the owner's epoch, or that of a transfer
	// in a later list.
	readRevision int64
	// transfersReadAt is when the transfers were last read.
	transfersReadAt time.Time
	// moving are the servers of a Move whose outcome is not known yet, with its number. They count as not held.
	moving map[specifier.ServerID]int
	// lastMove is the number of the last Move; the first is 1.
	lastMove int
	// others are the listed servers that other shards hold, or held when the servers were last listed.
	others map[specifier.ServerID]specifier.Server
	// listedHome is the number of listed servers whose home is this shard.
	listedHome int
}

// WithShard makes the Conductor the owner of one of several shards, which may borrow backend servers from each other.
func WithShard(index int, homeOf func(specifier.Server) int) Option {
	return func(s *settings) { s.shardIndex, s.homeOf = index, homeOf }
}

// sharded reports whether the cell has several shards.
func (c *Conductor) sharded() bool {
	return c.shard.homeOf != nil
}

// transferOf returns the transfer of a server; without one its home shard holds it.
func (c *Conductor) transferOf(server specifier.Server) Transfer {
	if known, ok := c.shard.transfers[server.ID]; ok {
		return known
	}
	home := c.shard.homeOf(server)
	return Transfer{Server: server.ID, Shard: home, Home: home}
}

// hasServer reports whether a server belongs to this owner. A transfer since its election belongs to it only if it names its
// epoch: earlier owners of the shard would otherwise use the server under the same fencing tokens.
func (c *Conductor) hasServer(server specifier.Server) bool {
	return !c.sharded() || !c.isMoving(server.ID) && c.isOwn(c.transferOf(server))
}

func (c *Conductor) isMoving(id specifier.ServerID) bool {
	return c.shard.moving[id] != 0
}

func (c *Conductor) isOwn(t Transfer) bool {
	return t.Shard == c.shard.index && (t.Revision < c.epoch || t.Epoch == c.epoch)
}

// firstFenceOf returns the first fencing token of this owner for a server. Revisions and epochs come from one counter.
// Every earlier holder has an epoch and a transfer that are both older than this owner's epoch or than the transfer to it,
// so that its tokens are lower, also after the server is returned.
func (c *Conductor) firstFenceOf(id specifier.ServerID) int64 {
	return max(c.firstFence, c.lastFences[id], c.shard.transfers[id].Revision*fencesPerOwner)
}

// heldServers removes the servers that other shards hold from a list of all servers.
func (c *Conductor) heldServers(listed []specifier.Server) []specifier.Server {
	if !c.sharded() {
		return listed
	}
	held := make([]specifier.Server, 0, len(listed))
	c.shard.others = make(map[specifier.ServerID]specifier.Server, len(listed))
	c.shard.listedHome = 0
	for _, server := range listed {
		if c.transferOf(server).Home == c.shard.index {
			c.shard.listedHome++
		}
		if c.hasServer(server) {
			held = append(held, server)
		} else {
			c.shard.others[server.ID] = server
		}
	}
	return held
}

// applyTransfers applies transfers that were read from the store. The read may have begun before a transaction of this
// owner took effect, so that only newer revisions count.
func (c *Conductor) applyTransfers(now time.Time, transfers []Transfer) {
	if transfers != nil {
		c.shard.transfersReadAt = now
	}
	for _, t := range transfers {
		c.shard.readRevision = max(c.shard.readRevision, t.Revision)
		if t.Revision > c.shard.transfers[t.Server].Revision {
			c.applyTransfer(t)
		}
	}
}

func (c *Conductor) applyTransfer(t Transfer) {
	before, known := c.shard.transfers[t.Server]
	if !known {
		before = Transfer{Server: t.Server, Shard: t.Home, Home: t.Home}
	}
	c.shard.transfers[t.Server] = t
	delete(c.shard.moving, t.Server)
	c.logTransfer(before, t)
	if c.isOwn(t) {
		c.noteReturned(before)
	}
	s := c.sessions[t.Server]
	if s == nil {
		return
	}
	if !c.isOwn(t) {
		c.shard.others[t.Server] = s.server
	}
	if len(s.allocations) == 0 {
		// The next list creates a session under the fencing tokens of the transfer.
		c.removeSession(s)
		return
	}
	// The records of an earlier owner name the server; their runs are compared with its next report.
	s.listed = false
	if c.isOwn(t) {
		s.fence = max(s.fence, c.firstFenceOf(t.Server))
	}
}

func (c *Conductor) logTransfer(before, t Transfer) {
	detail := fmt.Sprintf("transfer %d from shard %d to shard %d, home shard %d", t.Revision, before.Shard, t.Shard, t.Home)
	switch {
	case c.isOwn(t):
		c.logDecision("ServerReceived", specifier.TaskID{}, 0, t.Server, detail)
	case before.Shard == c.shard.index && t.Shard == t.Home:
		c.logDecision("ServerReturned", specifier.TaskID{}, 0, t.Server, detail)
	case before.Shard == c.shard.index:
		c.logDecision("ServerLent", specifier.TaskID{}, 0, t.Server, detail)
	}
}

// moved applies the outcome of a Move. A server may have been received again and be moving since, so that the outcome of an
// earlier Move says nothing about it.
func (c *Conductor) moved(now time.Time, e Moved) {
	for _, t := range e.Transfers {
		if c.shard.moving[t.Server] != e.Number {
			continue
		}
		known := c.shard.transfers[t.Server].Revision
		switch {
		case t.Revision > known:
			c.applyTransfer(t)
		case t.Revision == 0 && t.Home != c.shard.index:
			// The server was returned and its key deleted. Reads from before the return have no higher revision.
			t.Revision = known
			c.applyTransfer(t)
		case t.Revision == known || t.Revision == 0:
			c.moveFailed(now, t)
		}
	}
}

// moveFailed continues to use a server after a Move that had no effect and can have none any more.
func (c *Conductor) moveFailed(now time.Time, t Transfer) {
	if t.Revision == 0 {
		delete(c.shard.transfers, t.Server)
	}
	delete(c.shard.moving, t.Server)
	if s := c.sessions[t.Server]; s != nil && s.moving {
		c.dropWishes(s.lentTo)
		s.moving = false
		// While the server was moving, its entries in the lists did not update the session and it was not contacted.
		if newest, listed := c.shard.others[t.Server]; listed {
			c.updateServer(now, s, newest)
		}
		c.probe(now, s)
	}
}

// noteUnrecorded records that a run was withdrawn whose record in the store may still name the server.
func (c *Conductor) noteUnrecorded(s *session, j *job) {
	if c.sharded() {
		c.dropRecorded(s)
		s.unrecorded = append(s.unrecorded, pendingEnd{job: j.Spec.ID, version: j.Version()})
	}
}

func (c *Conductor) dropRecorded(s *session) {
	s.unrecorded = slices.DeleteFunc(s.unrecorded, func(p pendingEnd) bool {
		j := c.jobs[p.job]
		return j == nil || j.Committed() >= p.version
	})
}

// removeSession forgets a server without runs. A server that is listed again has seen the fencing token of the session, and late
// responses to that token say nothing about the next session.
func (c *Conductor) removeSession(s *session) {
	c.lastFences[s.id] = s.fence + 1
	c.forgetSpeed(s)
	delete(c.sessions, s.server.ID)
	c.ordered = nil
}
