package conductor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"egretring.example/egretring/assessor"
	"egretring.example/egretring/specifier"
)

// session returns the session of a server. It creates one also for a server that is not listed and only named by
// records.
func (c *Conductor) session(id specifier.ServerID) *session {
	if known := c.sessions[id]; known != nil {
		return known
	}
	created := newSession(specifier.Server{ID: id}, c.firstFenceOf(id), c.runs, c.accounts)
	created.predecessorLease = true
	created.leaseEnd = c.predecessorLeasesEnd
	c.sessions[id], c.ordered = created, nil
	return created
}

// orderedSessions returns all sessions in the order of their servers' IDs.
func (c *Conductor) orderedSessions() []*session {
	if c.ordered == nil {
		c.ordered = slices.SortedFunc(maps.Values(c.sessions), func(a, b *session) int { return cmp.Compare(a.id, b.id) })
	}
	return c.ordered
}

// predecessorsStopped shortens the leases of the servers that have not responded yet: only this owner can renew them
// now.
func (c *Conductor) predecessorsStopped(now time.Time) {
	end := now.Add(leaseBound(c.settings.lease))
	if !end.Before(c.predecessorLeasesEnd) {
		return
	}
	c.logDecision("PredecessorsStopped", specifier.TaskID{}, 0, "", "leases not confirmed end at "+end.Format(time.RFC3339Nano))
	c.predecessorLeasesEnd = end
	for _, s := range c.sessions {
		if s.predecessorLease && s.leaseEnd.After(end) {
			s.leaseEnd = end
		}
	}
}

// updateServers applies a list of the registered servers.
func (c *Conductor) updateServers(now time.Time, servers []specifier.Server) {
	present := make(map[specifier.ServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
		s := c.session(server.ID)
		c.updateServer(now, s, server)
		s.listed = true
		s.foreign = c.isForeign(server.ID)
	}
	for id, s := range c.sessions {
		if !present[id] && !s.moving {
			s.listed = false
		}
		if !s.listed && len(s.allocations) == 0 && now.After(s.leaseEnd) {
			c.removeSession(s)
		}
	}
}

// updateServer applies the entry of a server in a list.
func (c *Conductor) updateServer(now time.Time, s *session, server specifier.Server) {
	if s.isFormer(server.Incarnation) {
		return
	}
	if s.server.Incarnation != 0 && server.Incarnation > s.server.Incarnation {
		c.serverRestarted(now, s, server.Incarnation)
	}
	if server.Incarnation >= s.server.Incarnation {
		if server.Draining && !s.server.Draining {
			c.logDecision("ServerDraining", specifier.TaskID{}, 0, server.ID, "")
		}
		if s.isDescribed() && !sameKind(s.server, server) {
			c.forgetSpeed(s)
		}
		s.server, s.describedIncarnation = server, server.Incarnation
	}
}

// serverRestarted handles a new incarnation of a server. A start order that got no response may be carried out by the new
// incarnation, so the next response under a higher fencing token decides which runs are lost. The lease end of such an
// order is on the clock of the earlier incarnation, so that the new one may keep the run for the longest lease that servers
// grant.
func (c *Conductor) serverRestarted(now time.Time, s *session, incarnation int64) {
	c.logDecision("ServerRestarted", specifier.TaskID{}, 0, s.server.ID, fmt.Sprintf(
		"incarnation %d after %d; %d runs in doubt; without a response: %d starts, lease renewal %t",
		incarnation, s.server.Incarnation, len(s.allocations), s.unansweredStarts(), s.renewalInFlight,
	))
	c.settleDoubts(now, s.server.Address, incarnation, time.Time{})
	s.findCause(now)
	s.restartExplained, s.jobsAtRestart = s.isLossExplained(), s.jobs()
	for _, a := range s.allocations {
		if a.state == reserved {
			continue
		}
		s.setState(a, outcomeUnknown)
		a.shutdown = s.server.Draining
		if !a.answered {
			c.awaitOutlivedStart(now, a)
			// Only the former incarnation knows a stop that it has carried out.
			a.resolvedAt = time.Time{}
		}
	}
	s.reconciled, s.clockKnown, s.formerCalls = false, false, true
	s.lastEndSeen, s.acknowledged, s.confirmed, s.pending = 0, 0, 0, nil
	s.renewalInFlight, s.nextRenewalAt, s.renewalFailures = false, now, 0
	s.fence++
	s.health, s.restartedAt, s.formerIncarnation = assessor.Health{}, now, s.server.Incarnation
	c.forgetSpeed(s)
	c.withdrawReserved(now, s)
}

// requeueEnded requeues the runs of a server that have ended because their lease has. Whether the server has crashed or is
// unreachable is certain only if its address has a later incarnation. Servers that were draining have left.
func (c *Conductor) requeueEnded(now time.Time, s *session) {
	lost := make([]*allocation, 0, len(s.allocations))
	for _, a := range s.allocations {
		if now.After(c.endOf(s, a)) {
			lost = append(lost, a)
		}
	}
	if len(lost) == 0 {
		return
	}
	c.logDecision("LeaseEnded", specifier.TaskID{}, 0, s.server.ID, fmt.Sprintf("%d of %d runs lost; incarnation %d; %s since its last response",
		len(lost), len(s.allocations), s.server.Incarnation, s.sinceResponse(now)))
	s.findCause(now)
	for _, a := range lost {
		c.requeue(now, s, a)
		switch {
		case s.server.Draining || !a.mayHaveCrashed && a.state == reserved:
		case c.hasEnded(a):
			c.recordCrash(now, s, a)
		default:
			c.recordLoss(now, s, a)
		}
	}
	s.reconciled = false
	s.fence++
}

// renewLeases sends the due lease renewals, and requeues the runs of servers whose lease has certainly ended.
func (c *Conductor) renewLeases(now time.Time) {
	for _, s := range c.orderedSessions() {
		if len(s.allocations) > 0 && now.After(s.leaseEnd) {
			c.requeueEnded(now, s)
		}
		if s.moving || s.renewalInFlight || now.Before(s.nextRenewalAt) || s.server.Address == "" {
			continue
		}
		if !s.listed && len(s.allocations) == 0 {
			continue
		}
		// The fencing token of the transfer belongs to the new holder.
		if !c.hasServer(s.server) {
			continue
		}
		c.sendRenewal(now, s)
	}
}

func (c *Conductor) sendRenewal(now time.Time, s *session) {
	s.renewalSequence++
	s.renewalInFlight = true
	command := Renew{Server: s.server, Sequence: s.renewalSequence, Fence: s.fence}
	command.Acknowledged = s.takeAcknowledgement()
	if s.clockKnown && s.renewalFailures == 0 {
		command.LeaseEnd = s.serverTime(now) + c.settings.lease
		// The server may renew the lease even if its response is lost. A server that does not respond is polled without a
		// renewal, so that its lease ends and its tasks can start elsewhere.
		s.extendLease(now.Add(leaseBound(c.settings.lease)))
	}
	if s.isSettled() && len(s.pending) == 0 && (command.Acknowledged > 0 || !s.owesAcknowledgement()) {
		command.Wait = renewalWait
	}
	c.emit(command)
}

// leaseBound returns the longest time that a lease may last on the clock of the owner.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+leaseDrift)) + leaseMargin
}

func (c *Conductor) renewalEnded(now time.Time, e RenewEnded) {
	s := c.sessions[e.Server]
	// Responses to an earlier session of a server that was transferred and returned say nothing about this one, and the
	// server may have a new owner while it is being moved.
	if s == nil || s.moving || e.Fence < s.firstFence {
		return
	}
	newest := e.Sequence == s.renewalSequence
	if newest {
		s.renewalInFlight, s.refusing = false, e.Result == specifier.OrderRefused
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
			s.renewalFailures++
			s.nextRenewalAt = now.Add(renewalRetry)
			if s.renewalFailures == 1 {
				c.probeZone(now, s.server.Zone)
				c.logDecision("ServerSilent", specifier.TaskID{}, 0, s.server.ID, e.Result.String())
			}
		}
		return
	}
	if (s.isFormer(e.Report.Incarnation) || e.Report.Incarnation < s.server.Incarnation) && !s.mayBeSetBack(e) {
		return
	}
	if e.Report.Incarnation != s.server.Incarnation {
		if s.server.Incarnation != 0 {
			c.serverRestarted(now, s, e.Report.Incarnation)
		}
		s.server.Incarnation = e.Report.Incarnation
	}
	if e.Sequence < s.respondedRenewal {
		return
	}
	s.respondedRenewal = e.Sequence
	if e.Incarnation == e.Report.Incarnation {
		s.confirmed = max(s.confirmed, e.Acknowledged)
	}
	c.applyReport(now, s, e)
	if newest {
		c.scheduleRenewal(now, s)
	}
}

func (c *Conductor) scheduleRenewal(now time.Time, s *session) {
	s.nextRenewalAt = now
	if len(s.pending) > 0 || s.owesAcknowledgement() && s.awaitsStart() {
		s.nextRenewalAt = now.Add(uncommittedRenewal)
	}
}

// checkReachability resigns when fewer than half of the listed servers have been reachable for majorityTimeout, so that
// an instance that reaches them can take over.
func (c *Conductor) checkReachability(now time.Time) {
	listed, reached, refusing := 0, 0, 0
	for _, s := range c.orderedSessions() {
		if !s.listed {
			continue
		}
		listed++
		switch {
		case s.reconciled && s.renewalFailures == 0:
			reached++
		case s.refusing:
			refusing++
		}
	}
	if reached > 0 || c.reachableAt.IsZero() {
		c.anyReachableAt = now
	}
	if 2*reached >= listed {
		c.refusedBefore = 0
	}
	refused := 2*(reached+refusing) >= listed
	if 2*reached >= listed || c.reachableAt.IsZero() || refused && c.refusedLikeOthers(now) {
		c.reachableAt = now
	}
	if now.Sub(c.reachableAt) <= majorityTimeout {
		return
	}
	resignation := Resign{Reason: fmt.Sprintf("%d of %d backend servers are reachable, %d refuse connections", reached, listed, refusing)}
	if refused {
		resignation.Refused = c.refusedBefore + 1
	}
	c.end(resignation)
}

// refusedLikeOthers reports whether servers that refuse the connections of this owner are likely to refuse those of any other instance,
// too, because they have as many as they accept: the owner goes on with the servers that it reaches. Earlier owners have been refused
// then; a cut of the network that resets connections concerns some instances only.
func (c *Conductor) refusedLikeOthers(now time.Time) bool {
	return c.refusedBefore >= ownersRefused && now.Sub(c.anyReachableAt) < refusedTimeout
}
