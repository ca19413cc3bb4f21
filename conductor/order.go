package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

func (c *Conductor) sendStart(now time.Time, s *session, a *allocation) {
	s.setState(a, sent)
	a.startedAt, a.clockBefore = now, s.clock
	if a.firstSentAt.IsZero() {
		a.firstSentAt = now
	}
	a.incarnation, a.address = s.server.Incarnation, s.server.Address
	a.order.Fence = s.fence
	a.fence = s.fence
	a.order.LeaseEnd = s.serverTime(now) + startLease
	s.extendLease(now.Add(startLease + leaseMargin))
	c.emit(Start{Server: s.server, Order: a.order, Urgent: a.urgent})
}

// orderEnded applies the result of a start or stop order. Results from an earlier incarnation of the server are
// ignored.
func (c *Conductor) orderEnded(now time.Time, e OrderEnded) {
	s := c.sessions[e.Server]
	if s == nil || s.server.Incarnation != e.Incarnation {
		return
	}
	switch e.Result {
	case specifier.OrderUnknown, specifier.OrderUnhealthy, specifier.OrderOtherIncarnation, specifier.OrderNotSent:
	default:
		s.aliveAt = now
	}
	a := s.allocations[e.Task]
	if a == nil || a.run != e.Run {
		return
	}
	if e.Stop {
		if e.Result == specifier.OrderDone || e.Result == specifier.OrderObsolete {
			a.resolvedAt = now
		}
		return
	}
	c.startEnded(now, s, a, e)
	s.startAnswered(now)
	c.replan = c.replan || c.startsLimited
}

func (c *Conductor) startEnded(now time.Time, s *session, a *allocation, e OrderEnded) {
	if a.state != sent || e.Fence != a.fence {
		return
	}
	switch e.Result {
	case specifier.OrderDone:
		if e.HasClock && e.Clock < a.clockBefore {
			c.startedByLaterIncarnation(now, s, a)
			return
		}
		s.setState(a, confirmed)
		s.health.RecordConnection()
		c.markStarted(a)
		a.resolvedAt, a.answered = now, true
		return
	case specifier.OrderUnknown:
		s.setState(a, outcomeUnknown)
		c.awaitLateStart(now, a)
		c.noteDoubt(a)
		c.raiseFence(now, s, a.fence)
		c.logDecision("StartDoubtful", a.task, a.run, s.server.ID, "")
		return
	case specifier.OrderFenced:
		if e.Fence == s.fence {
			c.resign(fmt.Sprintf("backend server %s has seen a higher fencing token", s.server.ID))
			s.setState(a, outcomeUnknown)
			return
		}
	case specifier.OrderUnhealthy:
		c.probe(now, s)
		c.probeZone(now, s.server.Zone)
		s.health.Eject(now)
	case specifier.OrderNotSent:
		c.probe(now, s)
		c.probeZone(now, s.server.Zone)
		s.health.Pause(now)
	case specifier.OrderInvalid:
		s.health.Eject(now)
	case specifier.OrderNoTicket:
		c.dropTicket(a.task.StepID, s.server.ID)
	case specifier.OrderNoCapacity, specifier.OrderOtherIncarnation:
		c.raiseFence(now, s, a.fence)
	}
	c.logDecision("StartRefused", a.task, a.run, s.server.ID, e.Result.String())
	c.requeue(now, s, a)
}

// raiseFence raises the fencing token of a server above that of an order, so that the order cannot take effect after
// the server's next response, and probes the server.
func (c *Conductor) raiseFence(now time.Time, s *session, fence int64) {
	if s.fence == fence {
		s.fence++
	}
	c.probe(now, s)
	c.probeZone(now, s.server.Zone)
}

// probe marks a server as suspect and makes a lease renewal due immediately; the server gets no new runs until it has
// responded.
func (c *Conductor) probe(now time.Time, s *session) {
	s.suspect = true
	s.renewalInFlight = false
	s.nextRenewalAt = now
}

// probeZone probes the responsive servers of an availability zone in which several servers are unresponsive, because a
// partition makes them unreachable together.
func (c *Conductor) probeZone(now time.Time, zone string) {
	silent := 0
	for _, s := range c.sessions {
		if s.server.Zone == zone && s.listed && !s.responsive() {
			silent++
		}
	}
	if silent < partitionThreshold {
		return
	}
	for _, s := range c.sessions {
		if s.server.Zone == zone && s.listed && s.responsive() && now.Sub(s.clockReadAt) > freshReportAge {
			c.probe(now, s)
		}
	}
}

// requeue releases the capacity of a run that is known not to run, and returns its task to the waiting tasks.
func (c *Conductor) requeue(now time.Time, s *session, a *allocation) {
	c.settleCharge(now, a, a.answered)
	s.release(a.task)
	c.rewriteSettled(a.task.Job)
	j := c.jobs[a.task.Job]
	if j == nil || j.State().Final() {
		return
	}
	j.Unplace(a.task, a.run)
	c.stopGang(now, j, a.task.StepID, a.run)
	c.changed(j)
	c.noteUnrecorded(s, j)
}

// stopGang stops the other members of a gang's run after one of them was lost.
func (c *Conductor) stopGang(now time.Time, j *job, id specifier.StepID, run int) {
	step, ok := j.Step(id)
	if !ok || !step.Spec.Gang {
		return
	}
	for i := range step.Tasks {
		task := step.Tasks[i]
		if task.State != lifecycler.Placed || task.Run != run {
			continue
		}
		s := c.sessions[task.Server]
		if s == nil {
			continue
		}
		if a := s.allocations[id.Task(i)]; a != nil {
			c.stop(now, s, a)
		}
	}
}

// stop orders a server to stop a run; a run whose start order was not sent yet is cancelled.
func (c *Conductor) stop(now time.Time, s *session, a *allocation) {
	if a.stopping {
		return
	}
	if a.state == reserved {
		c.settleCharge(now, a, false)
		s.release(a.task)
		if j := c.jobs[a.task.Job]; j != nil {
			j.Unplace(a.task, a.run)
			c.changed(j)
			c.noteUnrecorded(s, j)
		}
		return
	}
	a.stopping, s.stops = true, true
	c.sendStop(now, s, a)
}

func (c *Conductor) sendStop(now time.Time, s *session, a *allocation) {
	a.stopSentAt = now
	c.emit(Stop{Server: s.server, Task: a.task, Run: a.run, Fence: s.fence})
}

func (c *Conductor) stopAll(now time.Time, j *job) {
	for s := range c.runs[j.Spec.ID] {
		for _, a := range s.allocations {
			switch {
			case a.task.Job != j.Spec.ID:
			case j.State() == specifier.Completed && a.state == confirmed && j.inGang(a.task):
				// All members of a gang end together, and the reports of their servers are on the way.
				s.stopLater(now, a)
			default:
				c.stop(now, s, a)
			}
		}
	}
}

// stopLater makes resendStops order the stop of a run that has not ended by then.
func (s *session) stopLater(now time.Time, a *allocation) {
	if !a.stopping {
		a.stopping, a.stopSentAt, s.stops = true, now, true
	}
}

func (c *Conductor) resendStops(now time.Time) {
	for _, s := range c.orderedSessions() {
		if !s.stops || s.renewalFailures > 0 {
			continue
		}
		s.stops = false
		for _, a := range s.allocations {
			s.stops = s.stops || a.stopping
			if a.stopping && now.Sub(a.stopSentAt) >= stopRetry {
				c.sendStop(now, s, a)
			}
		}
	}
}

// markStarted records that a run is known to have started.
func (c *Conductor) markStarted(a *allocation) {
	if j := c.jobs[a.task.Job]; j != nil {
		j.MarkStarted()
		if !a.answered {
			j.NoteStart(a.task, a.run, lifecycler.Answered)
		}
	}
}
