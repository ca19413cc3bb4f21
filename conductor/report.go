package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/specifier"
)

// applyReport applies the report in a server's response: its clock, the ends of runs and the runs that it still has.
func (c *Conductor) applyReport(now time.Time, s *session, e RenewEnded) {
	if s.renewalFailures > 0 {
		c.logDecision("ServerAnswers", specifier.TaskID{}, 0, s.server.ID, "")
	}
	c.settleDoubts(now, s.server.Address, e.Report.Incarnation, e.SentAt)
	s.renewalFailures, s.suspect = 0, false
	s.noteEndsAfter(now, e.SentAt)
	s.clock, s.clockReadAt, s.clockKnown, s.aliveAt = e.Report.Clock, now, true, now
	if s.predecessorLease {
		// An earlier owner may have renewed the lease until this first response; from now on the fencing token prevents
		// it.
		s.predecessorLease = false
		s.leaseEnd = now.Add(leaseBound(c.settings.lease))
		s.formerCalls = s.formerCalls || c.mayHaveFormerLease(s, e.Report)
	}
	if s.formerCalls && e.Fence >= s.fence {
		c.settleFormerCalls(now, s)
	}
	running := make(map[specifier.TaskID]specifier.RunningTask, len(e.Report.Running))
	for _, r := range e.Report.Running {
		running[r.Task] = r
	}
	ended := make(map[specifier.TaskID]int, len(e.Report.Ended))
	for _, end := range e.Report.Ended {
		ended[end.Task] = max(ended[end.Task], end.Run)
		if end.Number > s.lastEndSeen {
			c.runEnded(now, s, end)
		}
	}
	c.reconcile(now, s, e, running, ended)
	if !s.reconciled || len(e.Report.Ended) > 0 {
		c.replan = true
	}
	// A response to an earlier fencing token does not show that the server refuses the orders sent with it.
	s.reconciled = s.reconciled || e.Fence >= s.fence
	s.respondedFence = max(s.respondedFence, e.Fence)
	s.quiet = len(e.Report.Running) == 0 && len(e.Report.Ended) == 0
}

// runEnded releases the capacity of a run that has ended, records the end in its job, and queues the end for
// acknowledgement.
func (c *Conductor) runEnded(now time.Time, s *session, end specifier.EndedTask) {
	s.lastEndSeen = end.Number
	a := s.allocations[end.Task]
	if a != nil && a.run <= end.Run {
		a.mayStartUntil = time.Time{}
		c.settleCharge(now, a, true)
		c.forecaster.RunEnded(now, s.server.Labels, a.need.MilliCores)
		s.release(end.Task)
		c.rewriteSettled(end.Task.Job)
	}
	j := c.jobs[end.Task.Job]
	pending := pendingEnd{number: end.Number, job: end.Task.Job}
	if j != nil {
		c.observeRun(now, s, a, j, end)
		c.noteStepEnd(now, s, a, j, end)
		if a != nil && a.orphan {
			// The end of a run that the job does not count changes nothing in it, but its task may start again.
			c.markStale(j)
		}
		c.updateHealth(now, s, j, a, end)
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
	c.logDecision("RunEnded", end.Task, end.Run, s.server.ID, string(end.Reason))
	s.pending = append(s.pending, pending)
	c.acknowledge(now, s)
}

// updateHealth counts the end of a run as a success or failure of its server, if it is one. After a failure the job
// avoids the server. The allocation is nil if this owner knows of none.
func (c *Conductor) updateHealth(now time.Time, s *session, j *job, a *allocation, end specifier.EndedTask) {
	switch end.Reason {
	case specifier.RunDone:
		s.health.RecordSuccess()
	case specifier.RunFailed:
		if j.avoid == nil {
			j.avoid = make(map[specifier.ServerID]bool)
		}
		j.avoid[s.server.ID] = true
		if j.lasts(end.Task) && (a == nil || now.Sub(a.startedAt) > startupTime) {
			return
		}
		if s.health.RecordFailure(now, end.Task.Job) {
			c.logDecision("ServerSetAside", end.Task, end.Run, s.server.ID, "runs fail")
		}
	}
}

// reconcile compares the allocations on a server with its report: it confirms the runs that the report lists, requeues
// those that are certainly not running, and stops reported runs that no allocation covers. A run that is neither running nor among
// the listed ends is not requeued while ends are missing.
func (c *Conductor) reconcile(
	now time.Time, s *session, e RenewEnded, running map[specifier.TaskID]specifier.RunningTask, ended map[specifier.TaskID]int,
) {
	var lost []*allocation
	for _, a := range s.allocations {
		r, runs := running[a.task]
		switch {
		case runs && r.Run == a.run:
			c.confirmRun(now, s, a, r)
		case a.state == reserved || e.Report.EndsMissing:
		case e.Fence > a.fence, !a.resolvedAt.IsZero() && a.resolvedAt.Before(e.SentAt):
			lost = append(lost, a)
		}
	}
	for _, a := range lost {
		if c.mayResend(now, s, a) {
			c.resend(now, s, a)
			continue
		}
		if !a.remaining {
			c.logDecision("RunVanished", a.task, a.run, s.server.ID, "")
		}
		c.requeue(now, s, a)
		if a.incarnation != 0 && s.isOutlived(a) && !a.shutdown {
			c.recordCrash(now, s, a)
		}
	}
	for id, r := range running {
		if s.allocations[id] == nil && ended[id] < r.Run {
			c.stopOrphan(now, s, r)
		}
	}
}

// confirmRun records that the server reports a run as running.
func (c *Conductor) confirmRun(now time.Time, s *session, a *allocation, r specifier.RunningTask) {
	c.markStarted(a)
	if a.incarnation != 0 && s.isOutlived(a) {
		c.logDecision("StartOutlivedRestart", a.task, a.run, s.server.ID, fmt.Sprintf("sent to incarnation %d", a.incarnation))
		c.noteStartedBy(s, a)
	}
	a.answered, a.mayStartUntil, a.percent = true, time.Time{}, r.Percent
	if !s.formerCalls {
		a.endsBy = time.Time{}
	}
	if a.state == outcomeUnknown || a.state == sent {
		s.setState(a, confirmed)
		a.resolvedAt = now
	}
	j := c.jobs[a.task.Job]
	if j != nil && r.Checkpoint != "" {
		j.SetCheckpoint(a.task, r.Checkpoint)
	}
	if j != nil && !a.survived && now.Sub(a.startedAt) > survivalTime {
		a.survived = true
		if j.Survived(a.task, a.run) {
			c.markDirty(j)
		}
	}
}

// stopOrphan stops a run that no allocation covers; its capacity is allocated until its end is reported.
func (c *Conductor) stopOrphan(now time.Time, s *session, r specifier.RunningTask) {
	need := s.server.Capacity
	if j := c.jobs[r.Task.Job]; j != nil && r.Task.Step < len(j.Spec.Steps) {
		need = j.Spec.Steps[r.Task.Step].Occupies()
	}
	a := &allocation{task: r.Task, run: r.Run, need: need, state: confirmed, resolvedAt: now, fence: s.fence, orphan: true}
	a.team, a.counted = c.countedOf(r.Task)
	s.add(a)
	if j := c.jobs[r.Task.Job]; j != nil {
		j.hasOrphans = true
		c.markStale(j)
	}
	c.logDecision("OrphanStopped", r.Task, r.Run, s.server.ID, "")
	c.stop(now, s, a)
}
