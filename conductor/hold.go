package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// session returns the session of a server, also of one that only the records name.
func (c *Conductor) session(id specifier.ServerID) *session {
	if known := c.sessions[id]; known != nil {
		return known
	}
	created := newSession(specifier.Server{ID: id}, c.firstFence)
	created.inherited = true
	created.leaseEnd = c.startedAt.Add(handoverGrace + c.settings.lease)
	c.sessions[id] = created
	return created
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
			s.extendLease(now.Add(time.Duration(float64(c.settings.longestLease)*(1+leaseDrift)) + leaseMargin))
		}
	}
	s.known, s.clockKnown = false, false
	s.endsSeen, s.acknowledged, s.pending = 0, 0, nil
	s.holdInFlight, s.nextHoldAt, s.holdFailures = false, now, 0
	s.fence++
	s.health = health{}
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
	command := Hold{Server: s.server, Sequence: s.holdSequence, Fence: s.fence, Acknowledged: s.acknowledged}
	if s.clockKnown && s.holdFailures == 0 {
		command.LeaseEnd = s.serverTime(now) + c.settings.lease
		// The server may renew the lease although its answer is lost. A server that does not answer is only asked, so
		// that its lease ends and its tasks can start elsewhere.
		s.extendLease(now.Add(c.longestLease()))
	}
	if s.known && !s.suspect && s.holdFailures == 0 && len(s.pending) == 0 && s.settledFence == s.fence {
		command.Wait = holdWait
	}
	c.emit(command)
}

// longestLease returns how long a lease may last on the clock of the owner.
func (c *Conductor) longestLease() time.Duration {
	return time.Duration(float64(c.settings.lease)*(1+leaseDrift)) + leaseMargin
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

// report takes note of what a server says about its runs.
func (c *Conductor) report(now time.Time, s *session, e HoldEnded) {
	if s.holdFailures > 0 {
		c.decide("ServerAnswers", specifier.TaskID{}, 0, s.server.ID, "")
	}
	s.holdFailures, s.suspect = 0, false
	s.clock, s.clockAt, s.clockKnown = e.Report.Clock, now, true
	if s.inherited {
		// Until its first answer an earlier owner may have renewed the lease; now the fencing token rules that out.
		s.inherited = false
		s.leaseEnd = now.Add(c.longestLease())
	}
	running := make(map[specifier.TaskID]specifier.RunningTask, len(e.Report.Running))
	for _, r := range e.Report.Running {
		running[r.Task] = r
	}
	ended := make(map[specifier.TaskID]int, len(e.Report.Ended))
	for _, end := range e.Report.Ended {
		ended[end.Task] = max(ended[end.Task], end.Run)
		if end.Number > s.endsSeen {
			c.end(now, s, end)
		}
	}
	c.compare(now, s, e, running, ended)
	if !s.known || len(e.Report.Ended) > 0 {
		c.replan = true
	}
	s.known = true
	s.settledFence = max(s.settledFence, e.Fence)
}

// end takes note of the end of a run.
func (c *Conductor) end(now time.Time, s *session, end specifier.EndedTask) {
	s.endsSeen = end.Number
	if a := s.allocations[end.Task]; a != nil && a.run <= end.Run {
		s.release(end.Task)
	}
	j := c.jobs[end.Task.Job]
	pending := pendingEnd{number: end.Number, job: end.Task.Job}
	if j != nil {
		c.judge(now, s, j, end)
		if j.End(now, end) {
			c.changed(j)
			if end.Reason != specifier.RunDone {
				c.stopGang(now, j, end.Task.StepID, end.Run)
			}
			if j.State().Final() {
				c.stopAll(now, j)
			}
		}
		pending.version = j.Version()
		if j.Committed() < pending.version {
			c.markDirty(j)
		}
	}
	c.decide("RunEnded", end.Task, end.Run, s.server.ID, string(end.Reason))
	s.pending = append(s.pending, pending)
	c.acknowledge(now, s)
}

// judge updates the health of a server by the end of a run.
func (c *Conductor) judge(now time.Time, s *session, j *job, end specifier.EndedTask) {
	switch end.Reason {
	case specifier.RunDone:
		s.health.succeed()
	case specifier.RunFailed:
		if j.avoid == nil {
			j.avoid = make(map[specifier.ServerID]bool)
		}
		j.avoid[s.server.ID] = true
		if s.health.fail(now, end.Task.Job) {
			c.decide("ServerSetAside", end.Task, end.Run, s.server.ID, "runs fail")
		}
	}
}

// compare settles the runs that a report does not list, and stops those that no job needs.
func (c *Conductor) compare(
	now time.Time, s *session, e HoldEnded, running map[specifier.TaskID]specifier.RunningTask, ended map[specifier.TaskID]int,
) {
	var vanished []*allocation
	for _, a := range s.allocations {
		r, runs := running[a.task]
		switch {
		case runs && r.Run == a.run:
			c.observe(now, a, r)
		case a.state == reserved:
		case e.Fence > a.fence, !a.resolvedAt.IsZero() && a.resolvedAt.Before(e.SentAt):
			vanished = append(vanished, a)
		}
	}
	for _, a := range vanished {
		c.decide("RunVanished", a.task, a.run, s.server.ID, "")
		c.vanish(now, s, a)
	}
	for id, r := range running {
		if s.allocations[id] == nil && ended[id] < r.Run {
			c.adoptOrphan(now, s, r)
		}
	}
}

// observe notes that a run is at work.
func (c *Conductor) observe(now time.Time, a *allocation, r specifier.RunningTask) {
	c.begin(a.task.Job)
	if a.state == doubtful || a.state == sent {
		a.state = confirmed
		a.resolvedAt = now
	}
	if j := c.jobs[a.task.Job]; j != nil && r.Checkpoint != "" {
		j.SetCheckpoint(a.task, r.Checkpoint)
	}
}

// adoptOrphan stops a run that no job needs; its room counts until its end is listed.
func (c *Conductor) adoptOrphan(now time.Time, s *session, r specifier.RunningTask) {
	need := s.server.Capacity
	if j := c.jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.Spec.Steps) {
		need = j.Spec.Steps[r.Task.Step].Occupies()
	}
	a := &allocation{task: r.Task, run: r.Run, need: need, state: confirmed, resolvedAt: now, fence: s.fence}
	s.add(a)
	c.decide("OrphanStopped", r.Task, r.Run, s.server.ID, "")
	c.stop(now, s, a)
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
	if 2*reached >= listed {
		c.reachableAt = now
	}
	if now.Sub(c.reachableAt) > majorityPatience {
		c.resign(fmt.Sprintf("%d of %d backend servers are reachable", reached, listed))
	}
}

// placedOn reports whether a task has room on a server.
func placedOn(s *session, step *lifecycler.Step, index int) bool {
	return s.allocations[step.ID.Task(index)] != nil
}
