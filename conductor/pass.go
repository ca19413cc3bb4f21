package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// pass is one attempt to place all waiting steps.
type pass struct {
	now time.Time
	// usable are the servers that may get new runs, by service.
	usable map[string][]*session
	// contended are the services of which much capacity is in use while jobs wait that can still meet their objective.
	contended map[string]bool
	// maxFree is, for each service, the largest free amount of each resource on any usable server.
	maxFree map[string]specifier.Resources
	// freeAdvisors is the number of advisors that are still free, and freeForLong how many of them may make a long
	// call.
	freeAdvisors int
	freeForLong  int
	// allAdvisors is the number of advisors, and longCalls how many long calls may be made at the same time.
	allAdvisors, longCalls int
	// advisorsFor is the step for which advisors are reserved, if there is one.
	advisorsFor *waitingStep
	// startsLeft is how many more starts may be in flight. Urgent steps may take it below zero.
	startsLeft int
	// permitted are the waiting steps that the limits of their teams permit to start, before any is placed. Only passes over all steps have
	// them.
	permitted []*waitingStep
	// withinWaits is set when a step within the rate of its team waits that could use capacity, advisors or starts.
	withinWaits bool
	// held are the priorities of a service with a gang for which servers are held although it is not late.
	held map[holdKey]bool
	// wantedOnRack is what the steps that wait for each rack want of it, in thousandths of a core.
	wantedOnRack map[string]int64
}

// holdKey identifies the steps of a priority that use a service.
type holdKey struct {
	service  string
	priority int
}

// mayStart reports whether another task of a step may be placed. More starts in flight than the instance can carry out in time
// would end without a response.
func (p *pass) mayStart(w *waitingStep) bool {
	return p.startsLeft > 0 || w.urgent() && !p.yields(w) && p.startsLeft > -maxStartsInFlight
}

func (c *Conductor) newPass(now time.Time) *pass {
	p := &pass{
		now: now, usable: make(map[string][]*session),
		contended: make(map[string]bool), maxFree: make(map[string]specifier.Resources), startsLeft: maxStartsInFlight,
		held: make(map[holdKey]bool),
	}
	p.withinWaits = c.teams.withinWaits
	p.freeAdvisors, p.freeForLong = c.advisors.Free(now)
	p.allAdvisors, p.longCalls = c.advisors.Len(), c.advisors.LongCalls()
	p.advisorsFor = c.stepWithAdvisors(now)
	// Most cells have one service, so that the map is read once for each group of its servers.
	service, servers := "", []*session(nil)
	for _, s := range c.orderedSessions() {
		if s.claimedBy != nil && !now.Before(s.claimedUntil) {
			s.claimedBy = nil
		}
		s.forgetCalls(now)
		p.startsLeft -= s.starting
		if !s.usable(now) {
			continue
		}
		if s.server.Service != service || servers == nil {
			p.setUsable(service, servers)
			service, servers = s.server.Service, p.usable[s.server.Service]
			if servers == nil {
				servers = make([]*session, 0, len(c.ordered))
			}
		}
		servers = append(servers, s)
	}
	p.setUsable(service, servers)
	for service := range p.usable {
		p.updateMaxFree(service)
	}
	return p
}

func (p *pass) setUsable(service string, servers []*session) {
	if len(servers) > 0 {
		p.usable[service] = servers
	}
}

// findContended finds the services that are busy and those that are contended.
func (c *Conductor) findContended(p *pass) {
	for service, servers := range p.usable {
		if isBusy(servers) {
			c.busyAt[service] = p.now
			p.contended[service] = p.hasBacklog(service)
		}
	}
}

// candidates returns the usable servers that may run the step, without regard to advice.
func (p *pass) candidates(w *waitingStep) []*session {
	var found []*session
	for _, s := range p.usable[w.job.queue.Service] {
		if s.mayRun(w) {
			found = append(found, s)
		}
	}
	return found
}

// updateMaxFree recomputes the largest free amounts on the usable servers of a service.
func (p *pass) updateMaxFree(service string) {
	var maxFree specifier.Resources
	for _, s := range p.usable[service] {
		maxFree = maxFree.Max(s.freeCapacity())
	}
	p.maxFree[service] = maxFree
}
