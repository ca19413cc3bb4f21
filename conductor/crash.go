package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

const (
	// crashWindow is how long a server has to work after the start of a run so that the run counts as not having crashed it.
	crashWindow = 500 * time.Millisecond
	// protectionTime is how long a run has to last so that a task under which servers have crashed often gets other runs beside
	// it.
	protectionTime = 5 * time.Second
	// survivalTime is how long a run has to last so that earlier crashes under its task are forgotten.
	survivalTime = 30 * time.Second
	// claimTime is how long a server gets no new runs for a suspect that waits for it to be quiet, unless the claim is renewed.
	claimTime = 200 * time.Millisecond
	// freeDoubtfulCrashes is how many servers may be lost under a task before its next start is delayed, by suspectDelay at first
	// and by at most maxSuspectDelay.
	freeDoubtfulCrashes = 2
	suspectDelay        = 5 * time.Second
	maxSuspectDelay     = 5 * time.Minute
	// gangTrialPatience is how long a gang with suspects waits for enough quiet servers.
	gangTrialPatience = 1500 * time.Millisecond
)

// outlived reports whether the server is known to have worked for crashWindow after the start of a run.
func (s *session) outlived(a *allocation) bool {
	return a.state == confirmed && s.aliveAt.Sub(a.startedAt) > crashWindow
}

// onTrial reports whether a suspect was placed on the server that may still crash it. Meanwhile the server gets no other runs:
// they would be lost, and be suspects themselves. A protected run gets no other runs beside it for longer.
func (s *session) onTrial() bool {
	if s.trial == nil || s.allocations[s.trial.task] != s.trial {
		return false
	}
	return !s.outlived(s.trial) || s.trial.protected && s.aliveAt.Sub(s.trial.startedAt) <= protectionTime
}

// outlivedAll reports whether the server has outlived all of its runs, so that only a new run can crash it soon after its start.
func (s *session) outlivedAll() bool {
	for _, a := range s.allocations {
		if !s.outlived(a) {
			return false
		}
	}
	return true
}

// findCause marks the runs that are likely to have crashed the server, once it has restarted or its lease has ended, and those that are
// not because runs of other jobs are. A run whose start got no response may never have begun.
func (s *session) findCause(now time.Time) {
	var suspects []*allocation
	jobs := make(map[specifier.JobID]bool)
	for _, a := range s.allocations {
		if a.state == confirmed && !a.resolvedAt.IsZero() && !s.outlived(a) {
			suspects = append(suspects, a)
			jobs[a.task.Job] = true
		}
	}
	for _, a := range suspects {
		a.mayHaveCrashed, a.alone = true, len(jobs) == 1
		if a == s.trial {
			s.trialCrashedAt = now
		}
	}
	for _, a := range s.allocations {
		a.crashedByOthers = a.crashedByOthers || len(jobs) > 0 && !jobs[a.task.Job]
	}
}

// noteStartedBy records that the present incarnation of the server has carried out a start that was sent to an earlier one. So the run
// has crashed no server yet, and a later loss of it is one of the present incarnation.
func (c *Conductor) noteStartedBy(s *session, a *allocation) {
	a.incarnation, a.mayHaveCrashed, a.alone, a.crashedByOthers = s.server.Incarnation, false, false, false
	j := c.jobs[a.task.Job]
	if j != nil && j.StartedBy(a.task, a.run, a.incarnation) {
		c.markDirty(j)
	}
}

// recordCrash records that the server has certainly crashed under a run.
func (c *Conductor) recordCrash(now time.Time, s *session, a *allocation) {
	c.record(now, s, a, lifecycler.Crash{Run: a.run, Caused: a.mayHaveCrashed, Alone: a.alone})
}

// recordLoss records that the server does not respond: it may have crashed under a run, or may be unreachable.
func (c *Conductor) recordLoss(now time.Time, s *session, a *allocation) {
	if a.address == "" || a.incarnation == 0 {
		return
	}
	c.addDoubt(a.address, doubt{task: a.task, run: a.run, server: s.server.ID, incarnation: a.incarnation, since: now})
	c.record(now, s, a, lifecycler.Crash{
		Run: a.run, Address: a.address, Incarnation: a.incarnation, Caused: a.mayHaveCrashed, Alone: a.alone,
	})
}

// record records a crash, and gives up the job of a task under which servers crash again and again. An outage of many servers is
// blamed on no task.
func (c *Conductor) record(now time.Time, s *session, a *allocation, crash lifecycler.Crash) {
	j := c.jobs[a.task.Job]
	if j == nil {
		return
	}
	crash.Excused = a.crashedByOthers
	switch {
	case c.isOutage(now, s.server.Zone):
		crash.Excused = !a.mayHaveCrashed
		crash.Caused, crash.Alone, crash.Outage = false, false, true
	case c.coincides(now, s, a.task.Job):
		crash.Excused, crash.Alone = !a.mayHaveCrashed, false
	}
	givenUp := j.Crashed(now, a.task, crash)
	if crash.Caused {
		c.logDecision("TaskSuspected", a.task, a.run, s.server.ID,
			fmt.Sprintf("the server was lost soon after the start; alone: %t, doubtful: %t", a.alone, crash.Doubtful()))
	}
	j.postponeSuspects(now, a.task)
	c.changed(j)
	if givenUp {
		c.giveUp(now, j, a.task, a.run, s.server.ID)
	}
}

// giveUp stops the runs of a job that has failed because servers crash under one of its tasks.
func (c *Conductor) giveUp(now time.Time, j *job, task specifier.TaskID, run int, server specifier.ServerID) {
	c.logDecision("JobGivenUp", task, run, server, fmt.Sprintf("servers crash under the task; run %d was the last", run))
	c.stopAll(now, j)
}

// postponeSuspects delays the next start of the job's suspects when it is not known of several servers whether they have
// crashed under the task. The delay grows with their number; it ends when one of them responds.
func (j *job) postponeSuspects(now time.Time, task specifier.TaskID) {
	step, ok := j.Step(task.StepID)
	if !ok {
		return
	}
	if extra := step.Tasks[task.Index].DoubtfulCrashes() - freeDoubtfulCrashes; extra > 0 {
		j.suspectsNotBefore = now.Add(min(suspectDelay<<min(extra-1, 16), maxSuspectDelay))
	}
}

// placeSuspects places the suspects among the waiting tasks of a step on one server, where no other run can cause a crash, as
// far as they fit. It reports whether it placed any. A job has one trial at a time, because a crash settles it for all of its
// suspects.
func (c *Conductor) placeSuspects(p *pass, w *waitingStep, suspects []int, servers []*session) bool {
	if len(suspects) == 0 || w.startable <= 0 || w.job.hasOpenTrial() || p.now.Before(w.job.suspectsNotBefore) {
		return false
	}
	s := w.serverForTrial(servers)
	if s == nil {
		return false
	}
	if !s.outlivedAll() {
		s.claimedBy, s.claimedUntil = w.job, p.now.Add(claimTime)
		return false
	}
	s.claimedBy, w.job.trial = nil, s
	placed := false
	for _, index := range suspects[:min(len(suspects), w.startable, w.fits(s))] {
		if !placedOn(s, w.step, index) {
			c.reserve(p, w, s, index, w.step.NextRun(index))
			placed = true
		}
	}
	return placed
}

// serverForTrial returns the server that the job has claimed for its suspects or should claim: one that is quiet already if
// there is one, and otherwise one with little work that a crash would end.
func (w *waitingStep) serverForTrial(servers []*session) *session {
	servers = slices.DeleteFunc(slices.Clone(servers), func(s *session) bool { return w.fits(s) == 0 })
	if len(servers) == 0 {
		return nil
	}
	return slices.MinFunc(servers, func(a, b *session) int {
		return cmp.Or(
			compareBool(a.outlivedAll(), b.outlivedAll()),
			compareBool(a.claimedBy == w.job, b.claimedBy == w.job),
			cmp.Compare(a.used.MilliCores, b.used.MilliCores),
			cmp.Compare(a.server.ID, b.server.ID),
		)
	})
}

// pairSuspects reorders a gang's waiting tasks and the servers chosen for them, so that suspects get servers on which no other
// run can cause a crash, if there are some.
func (w *waitingStep) pairSuspects(servers []*session) {
	slices.SortStableFunc(w.waiting, func(a, b int) int { return compareBool(w.isSuspect(a), w.isSuspect(b)) })
	quiet := make(map[*session]bool, len(servers))
	for _, s := range servers {
		quiet[s] = s.outlivedAll()
	}
	slices.SortStableFunc(servers, func(a, b *session) int { return compareBool(quiet[a], quiet[b]) })
}

// isSuspect reports whether a task of the step is likely to crash the server on which it starts.
func (w *waitingStep) isSuspect(index int) bool {
	return w.step.Tasks[index].Suspect()
}
