package assigner_test

import (
	"time"

	"egretring.example/egretring/assigner"
)

// run lets a process start work before and after it handles its events. The work before models a process that resumes
// after a pause and acts on its outdated state.
func (c *cell) run(p *process) {
	c.startWork(p)
	p.applied = p.shares
	inbox := p.inbox
	p.inbox = nil
	for _, event := range inbox {
		c.handle(p, event)
	}
	c.renew(p)
	c.readZone(p)
	c.reportWork(p)
	c.handle(p, assigner.Ticked{})
	c.sendHeartbeats(p)
	c.startWork(p)
}

func (c *cell) startWork(p *process) {
	for _, share := range p.applied.Shares {
		if !p.assigner.MayStart(c.now) || c.random.IntN(2) == 0 {
			continue
		}
		for server := range modelServers {
			if serverID(server) == share.BackendServer && c.busy(p, server) < share.Slots {
				c.work = append(c.work, work{process: p, owner: p.assigner.Self().Owner, server: server})
			}
		}
	}
}

func (c *cell) busy(p *process, server int) int {
	count := 0
	for _, item := range c.work {
		if item.process == p && item.server == server {
			count++
		}
	}
	return count
}

func (c *cell) renew(p *process) {
	if p.departed || c.now.Sub(p.renewedAt) < 3*time.Second {
		return
	}
	owner := p.assigner.Self().Owner
	if !c.storeReachable(p) {
		c.handle(p, assigner.StoreChanged{})
		return
	}
	p.renewedAt = c.now
	c.handle(p, assigner.StoreChanged{Reachable: true})
	c.expireLeases()
	if p.leaseOf != owner {
		delete(c.leases, p.leaseOf)
		p.leaseOf = assigner.Owner{}
	}
	if _, ok := c.leases[owner]; p.leaseOf == owner && !ok {
		p.leaseOf = assigner.Owner{}
		c.handle(p, assigner.LeaseLost{})
	}
	if p.leaseOf == (assigner.Owner{}) {
		for other := range c.leases {
			if other.Instance == owner.Instance {
				return
			}
		}
		c.ids++
		p.leaseID, p.leaseOf = int64(c.ids), owner
	}
	c.leases[owner] = c.now.Add(assigner.LeaseTTL)
	if p.losesResponse() {
		return
	}
	c.handle(p, assigner.LeaseRenewed{Incarnation: owner.Incarnation, Lease: p.leaseID, Before: c.now})
}

func (p *process) losesResponse() bool {
	if p.responsesToLose == 0 {
		return false
	}
	p.responsesToLose--
	return true
}

func (c *cell) expireLeases() {
	for owner, deadline := range c.leases {
		if !c.now.Before(deadline) {
			delete(c.leases, owner)
		}
	}
}

func (c *cell) readZone(p *process) {
	if !c.storeReachable(p) || p.departed || c.random.IntN(2) == 0 {
		return
	}
	c.expireLeases()
	read := assigner.ZoneRead{Record: c.record, Version: c.version}
	for owner := range c.leases {
		read.Leases = append(read.Leases, owner)
	}
	c.handle(p, read)
}

func (c *cell) reportWork(p *process) {
	busy := assigner.BusyChanged{Shares: p.applied.Version}
	for server := range modelServers {
		if count := c.busy(p, server); count > 0 {
			busy.Busy = append(busy.Busy, assigner.ServerBusy{BackendServer: serverID(server), Slots: count})
		}
	}
	c.handle(p, busy)
	server := c.random.IntN(modelServers)
	usage := assigner.UsageReported{BackendServer: serverID(server), SampledAt: c.now, ByOwner: []assigner.OwnerBusy{}}
	for _, item := range c.work {
		if item.server == server {
			usage.BusySlots++
			usage.ByOwner = append(usage.ByOwner, assigner.OwnerBusy{Owner: item.owner, Slots: 1})
		}
	}
	// The report arrives later, which models the lag of usage reports.
	p.inbox = append(p.inbox, usage)
}

func (c *cell) sendHeartbeats(p *process) {
	if p.departed {
		return
	}
	heartbeat := p.assigner.Heartbeat()
	for _, other := range c.processes {
		if other == p || !other.running || !c.linked(p.instance, other.instance) {
			continue
		}
		// An inbox keeps its order except for a random insertion, which models reordering between connections.
		at := len(other.inbox)
		if at > 0 && c.random.IntN(4) == 0 {
			at = c.random.IntN(at)
		}
		other.inbox = append(other.inbox[:at:at], append([]assigner.Event{
			assigner.HeartbeatReceived{Heartbeat: heartbeat},
		}, other.inbox[at:]...)...)
	}
	for _, member := range p.assigner.Record().Members {
		c.dial(p, member)
	}
}

func (c *cell) dial(p *process, member assigner.Member) {
	for _, other := range c.processes {
		if other.assigner.Self().Instance != member.Instance || !c.linked(p.instance, other.instance) {
			continue
		}
		newest := c.latest(other.instance)
		if !newest.running && !newest.unreachable {
			p.inbox = append(p.inbox, assigner.PeerRefused{Owner: member.Owner})
		}
		return
	}
}

func (c *cell) handle(p *process, event assigner.Event) {
	for _, command := range p.assigner.Handle(c.now, event) {
		switch command := command.(type) {
		case assigner.WriteAssignment:
			c.write(p, command)
		case assigner.ChangeShares:
			p.shares = command
		case assigner.Depart:
			p.departed = true
			p.running = false
			delete(c.leases, p.leaseOf)
		}
	}
}

func (c *cell) write(p *process, command assigner.WriteAssignment) {
	completed := assigner.WriteCompleted{WriteID: command.Record.WriteID, Result: assigner.ResponseLost}
	apply := func() {
		completed.Result = assigner.Conflicted
		if c.version == command.Version {
			c.version++
			c.record = command.Record
			completed.Result, completed.Version = assigner.Written, c.version
		}
	}
	late := c.random.IntN(2) == 0
	if !c.storeReachable(p) || p.losesResponse() {
		p.inbox = append(p.inbox, completed)
		if late {
			c.delayed = append(c.delayed, apply)
		}
		return
	}
	if late {
		c.delayed = append(c.delayed, func() {
			apply()
			p.inbox = append(p.inbox, completed)
		})
		return
	}
	apply()
	p.inbox = append(p.inbox, completed)
}
