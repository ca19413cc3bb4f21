package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

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
		s.leaseEnd = now.Add(leaseBound(c.settings.lease))
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
		s.health.Succeed()
	case specifier.RunFailed:
		if j.avoid == nil {
			j.avoid = make(map[specifier.ServerID]bool)
		}
		j.avoid[s.server.ID] = true
		if s.health.Fail(now, end.Task.Job) {
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
