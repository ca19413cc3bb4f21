package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/assessor"
	"egretring.example/egretring/specifier"
)

// session returns the session of a server, also of one that only the records name.
func (c *Conductor) session(id specifier.ServerID) *session {
	if known := c.sessions[id]; known != nil {
		return known
	}
	created := newSession(specifier.Server{ID: id}, max(c.firstFence, c.lastFences[id]))
	created.inherited = true
	created.leaseEnd = c.inheritedUntil
	c.sessions[id] = created
	return created
}

// predecessorsStopped bounds the leases of the servers that have not answered yet: nobody but this owner renews them now.
func (c *Conductor) predecessorsStopped(now time.Time) {
	end := now.Add(leaseBound(c.settings.lease))
	if !end.Before(c.inheritedUntil) {
		return
	}
	c.decide("PredecessorsStopped", specifier.TaskID{}, 0, "", "leases not confirmed end at "+end.Format(time.RFC3339Nano))
	c.inheritedUntil = end
	for _, s := range c.sessions {
		if s.inherited && !s.strayLease && s.leaseEnd.After(end) {
			s.leaseEnd = end
		}
	}
}

// listed takes over the list of registered servers.
func (c *Conductor) listed(now time.Time, servers []specifier.Server) {
	present := make(map[specifier.ServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
		s := c.session(server.ID)
		if s.server.Born != 0 && server.Born > s.server.Born {
			c.reborn(now, s, server.Born)
		}
		if server.Born >= s.server.Born {
			if server.Draining && !s.server.Draining {
				c.decide("ServerDraining", specifier.TaskID{}, 0, server.ID, "")
			}
			s.server = server
		}
		s.listed = true
	}
	for id, s := range c.sessions {
		if !present[id] {
			s.listed = false
		}
		if !s.listed && len(s.allocations) == 0 && now.After(s.leaseEnd) {
			c.lastFences[id] = s.fence
			delete(c.sessions, id)
		}
	}
}

// reborn notes that a server was started again. A run may have been ordered from the new life before it was noticed, so
// the next answer under a higher fencing token decides which runs are lost. The lease of such an order is on the clock
// of the earlier life, so that the new one may keep the run for the longest lease there is.
func (c *Conductor) reborn(now time.Time, s *session, born int64) {
	c.decide("ServerRestarted", specifier.TaskID{}, 0, s.server.ID, fmt.Sprintf("%d runs in doubt", len(s.allocations)))
	earliest := time.UnixMilli(born).Add(-birthSkew)
	for _, a := range s.allocations {
		if a.state == reserved {
			continue
		}
		a.state = doubtful
		if a.startedAt.After(earliest) {
			s.strayLease = true
			s.extendLease(now.Add(leaseBound(c.settings.longestLease)))
		}
	}
	s.known, s.clockKnown = false, false
	s.endsSeen, s.acknowledged, s.pending = 0, 0, nil
	s.holdInFlight, s.nextHoldAt, s.holdFailures = false, now, 0
	s.fence++
	s.health = assessor.Health{}
}

func (c *Conductor) loseRuns(now time.Time, s *session) {
	lost := make([]*allocation, 0, len(s.allocations))
	for _, a := range s.allocations {
		lost = append(lost, a)
	}
	for _, a := range lost {
		c.vanish(now, s, a)
	}
}

// hold renews leases and gives up what ran on servers whose lease has certainly ended.
func (c *Conductor) hold(now time.Time) {
	for _, s := range c.sessions {
		if len(s.allocations) > 0 && now.After(s.leaseEnd) {
			c.decide("LeaseEnded", specifier.TaskID{}, 0, s.server.ID, fmt.Sprintf("%d runs lost", len(s.allocations)))
			c.loseRuns(now, s)
			s.known = false
			s.fence++
		}
		if s.holdInFlight || now.Before(s.nextHoldAt) || s.server.Address == "" {
			continue
		}
		if !s.listed && len(s.allocations) == 0 {
			continue
		}
		c.sendHold(now, s)
	}
}

func (c *Conductor) sendHold(now time.Time, s *session) {
	s.holdSequence++
	s.holdInFlight = true
	command := Hold{Server: s.server, Sequence: s.holdSequence, Fence: s.fence}
	// A server that gave no answer may have been started again. Its numbers of ends then begin anew, and it would forget
	// ends of which this owner has not heard.
	if s.answers() {
		command.Acknowledged = s.acknowledged
	}
	if s.clockKnown && s.holdFailures == 0 {
		command.LeaseEnd = s.serverTime(now) + c.settings.lease
		// The server may renew the lease although its answer is lost. A server that does not answer is only asked, so
		// that its lease ends and its tasks can start elsewhere.
		s.extendLease(now.Add(leaseBound(c.settings.lease)))
	}
	if s.known && s.answers() && len(s.pending) == 0 && s.settledFence == s.fence {
		command.Wait = holdWait
	}
	c.emit(command)
}

// leaseBound returns how long a lease may last on the clock of the owner.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+leaseDrift)) + leaseMargin
}

func (c *Conductor) holdEnded(now time.Time, e HoldEnded) {
	s := c.sessions[e.Server]
	if s == nil {
		return
	}
	newest := e.Sequence == s.holdSequence
	if newest {
		s.holdInFlight = false
	}
	switch e.Result {
	case specifier.OrderDone:
	case specifier.OrderFenced:
		if e.Fence == s.fence {
			c.resign(fmt.Sprintf("backend server %s has seen a higher fencing token", s.server.ID))
		}
		return
	default:
		if newest {
			s.holdFailures++
			s.nextHoldAt = now.Add(holdRetry)
			if s.holdFailures == 1 {
				c.suspectZone(now, s.server.Zone)
				c.decide("ServerSilent", specifier.TaskID{}, 0, s.server.ID, e.Result.String())
			}
		}
		return
	}
	if e.Report.Born < s.server.Born {
		return
	}
	if e.Report.Born > s.server.Born {
		if s.server.Born != 0 {
			c.reborn(now, s, e.Report.Born)
		}
		s.server.Born = e.Report.Born
	}
	if e.Sequence < s.answeredHold {
		return
	}
	s.answeredHold = e.Sequence
	c.report(now, s, e)
	if newest {
		c.scheduleHold(now, s)
	}
}

func (c *Conductor) scheduleHold(now time.Time, s *session) {
	s.nextHoldAt = now
	if len(s.pending) > 0 {
		s.nextHoldAt = now.Add(uncommittedHold)
	}
}

// checkReach resigns when most servers have not answered for long, so that an instance that reaches them can take over.
func (c *Conductor) checkReach(now time.Time) {
	listed, reached := 0, 0
	for _, s := range c.sessions {
		if s.listed {
			listed++
			if s.known && s.holdFailures == 0 {
				reached++
			}
		}
	}
	if 2*reached >= listed || c.reachableAt.IsZero() {
		c.reachableAt = now
	}
	if now.Sub(c.reachableAt) > majorityPatience {
		c.resign(fmt.Sprintf("%d of %d backend servers are reachable", reached, listed))
	}
}
