package conductor

import (
	"cmp"
	"time"

	"egretring.example/egretring/specifier"
)

// availableServers returns the servers of a service on which new runs could be placed if no other shard wanted them.
func (c *Conductor) availableServers(now time.Time, service string) []*session {
	var servers []*session
	for _, s := range c.sessions {
		if s.server.Service == service && s.available(now) {
			servers = append(servers, s)
		}
	}
	return servers
}

// hasBlockedStep reports whether one of the steps has waited for capacity for longer than advice takes. A step that would fit
// waits for tickets.
func (c *Conductor) hasBlockedStep(now time.Time, service string, steps []*waitingStep) bool {
	servers := c.availableServers(now, service)
	for _, w := range steps {
		if w.job.queue.Service == service && w.hasWaitedFor(now, backlogAfter) && !w.couldFit(w.job.adviceFor(w.step.ID), servers) {
			return true
		}
	}
	return false
}

// maxWanted bounds the sum of the needs of waiting steps, so that it does not overflow.
var maxWanted = specifier.Resources{MilliCores: 1 << 50, MemoryMB: 1 << 50, Accelerators: 1 << 50}

// load returns the capacity of a service that is in use, and that its waiting steps need, as a percentage of what the shard has.
func (c *Conductor) load(now time.Time, service string) int {
	var taken, capacity specifier.Resources
	for _, s := range c.availableServers(now, service) {
		taken, capacity = taken.Plus(s.used), capacity.Plus(s.server.Capacity)
	}
	for _, w := range c.waitingSteps {
		if w.job.queue.Service == service {
			taken = taken.Plus(w.need().Times(c.startableTasks(w))).Min(maxWanted)
		}
	}
	return max(percent(taken.MilliCores, capacity.MilliCores), percent(taken.MemoryMB, capacity.MemoryMB))
}

// surplus returns how many servers this shard can lend until its load is that of the shard that borrows.
func (c *Conductor) surplus(now time.Time, w *wish) int {
	limit := min(cmp.Or(w.Load, fullLoad)-levelMargin, maxLenderLoad)
	if w.Worthless {
		limit = min(limit, busyPercent)
	}
	load := c.load(now, w.Service)
	if load >= limit {
		return 0
	}
	servers := len(c.availableServers(now, w.Service))
	return min(servers-(servers*load+limit-1)/limit, servers-servers/keptIdleShare)
}
