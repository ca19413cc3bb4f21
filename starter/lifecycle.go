package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// commitStart begins an attempt at the place that the placer chose.
func (s *Starter) commitStart(now time.Time, place placer.PlaceTask) {
	t := s.taskOf(place.Task)
	on := s.servers[place.Server]
	if t == nil || on == nil || t.state != Pending {
		s.place(now, placer.TaskReleased{Task: place.Task})
		return
	}
	t.submitted = false
	t.state = Committing
	t.attempt++
	t.server = on
	t.resources = place.Resources
	t.committed, t.sent, t.cancelled, t.mustLeave, t.adopted = false, false, false, false, false
	t.startedAt, t.leaseUntil, t.wakeAt = time.Time{}, time.Time{}, time.Time{}
	on.tasks[t.id] = t
	s.emit(CommitRecord{Record: t.record(committer.Started, s.right.Epoch, now)})
}

func (s *Starter) commitDone(now time.Time, records []committer.Record) {
	for _, record := range records {
		if record.Kind == committer.Ended {
			s.endDurable(record)
			continue
		}
		t := s.taskOf(record.Task)
		if t == nil || t.attempt != record.Attempt || t.state != Committing {
			continue
		}
		t.committed = true
		s.tryStart(now, t)
	}
}

// tryStart sends a committed start. A gang job is started when the starts of all its tasks are committed.
func (s *Starter) tryStart(now time.Time, t *task) {
	delete(s.held, t.id)
	if t.state != Committing || !t.committed {
		return
	}
	if t.cancelled {
		s.leave(now, t, committer.Stopped, "")
		return
	}
	starting := []*task{t}
	if t.job.isGang() {
		starting = t.job.ordered()
		for _, member := range starting {
			if member.state != Committing || !member.committed || member.cancelled {
				return
			}
		}
	}
	for _, member := range starting {
		if !now.Before(s.right.StartUntil) {
			s.held[member.id] = member
			continue
		}
		delete(s.held, member.id)
		s.sendStart(now, member)
	}
}

func (s *Starter) sendStart(now time.Time, t *task) {
	t.state = Starting
	t.sent = true
	t.leaseUntil = now.Add(CallTimeout + s.settings.lease)
	s.wakeTask(t, now.Add(resendInterval))
	s.emit(StartTask{
		Server: t.server.id, Attempt: t.name(), Epoch: s.right.Epoch, Resources: t.resources,
		LeaseSeconds: int64(s.settings.lease / time.Second),
	})
}

func (s *Starter) wakeTask(t *task, at time.Time) {
	t.wakeAt = at
	s.timers.set(at, t)
}

// wake implements waker.
func (t *task) wake(s *Starter, now time.Time) {
	t.wakeAt = time.Time{}
	switch t.state {
	case Pending:
		s.submit(now, t.job, []*task{t})
	case Starting:
		if now.Before(s.right.StartUntil) {
			s.sendStart(now, t)
		} else {
			s.wakeTask(t, now.Add(resendInterval))
		}
	case Checkpointing, Stopping:
		s.stop(now, t)
	case Lost:
		s.checkLost(now, t)
	}
}

func (s *Starter) startAnswered(now time.Time, e StartAnswered) {
	t := s.taskOf(e.Task)
	if t == nil || t.attempt != e.Attempt || t.server == nil || t.server.id != e.Server || e.Result == NoAnswer {
		return
	}
	s.hear(now, t.server)
	switch {
	case e.Result == Refused && t.state == Starting:
		s.leave(now, t, committer.Failed, "backend server refused the start")
	case e.Result == Refused && t.state != Committing:
		s.leave(now, t, committer.Stopped, "")
	case t.state == Starting:
		s.run(now, t)
	case t.startedAt.IsZero():
		t.startedAt = now
	}
}

func (s *Starter) run(now time.Time, t *task) {
	t.state = Running
	t.startedAt = now
	t.wakeAt = time.Time{}
	s.place(now, placer.TaskStarted{Task: t.id})
}

// evict asks a task to write a checkpoint and leave.
func (s *Starter) evict(now time.Time, t *task) {
	switch t.state {
	case Running:
	case Checkpointing, Stopping:
		return
	default:
		s.stop(now, t)
		return
	}
	t.state = Checkpointing
	t.mustLeave = true
	s.wakeTask(t, now.Add(s.settings.checkpointTime))
	s.emit(CheckpointTask{Server: t.server.id, Attempt: t.name(), Epoch: s.right.Epoch})
}

// stop ends an attempt. A start that was not sent is cancelled; others wait for the confirmation of the backend server.
func (s *Starter) stop(now time.Time, t *task) {
	switch t.state {
	case Committing:
		t.cancelled = true
		if t.committed {
			s.tryStart(now, t)
		}
	case Starting, Running, Checkpointing, Stopping:
		t.state = Stopping
		t.mustLeave = true
		s.wakeTask(t, now.Add(resendInterval))
		s.emit(StopTask{Server: t.server.id, Attempt: t.name(), Epoch: s.right.Epoch})
	case Lost:
		t.mustLeave = true
	}
}

func (s *Starter) taskLeft(now time.Time, e TaskLeft) {
	if on := s.servers[e.Server]; on != nil {
		s.hear(now, on)
	}
	t := s.taskOf(e.Task)
	if t == nil || t.attempt != e.Attempt || t.server == nil || t.server.id != e.Server || !t.sent {
		return
	}
	s.leave(now, t, e.Outcome, e.Reason)
}

// leave ends an attempt that is certain not to run any more, and decides how the task goes on.
func (s *Starter) leave(now time.Time, t *task, outcome committer.Outcome, reason string) {
	if outcome == committer.Succeeded && t.job.description.Policy == describer.ServiceJob {
		outcome, reason = committer.Failed, "service task ended"
	}
	if s.judge(now, t, outcome) && outcome == committer.Failed {
		outcome = s.countFailure(now, t)
	}
	s.commitEnd(now, t, outcome, reason)
	delete(t.server.tasks, t.id)
	delete(s.held, t.id)
	t.server = nil
	t.state = Pending
	t.wakeAt = time.Time{}
	s.place(now, placer.TaskReleased{Task: t.id, Completed: outcome == committer.Succeeded})
	switch {
	case t.withdrawn:
		s.drop(now, t)
	case outcome.IsFinal():
		t.finish(outcome)
	case outcome == committer.Failed:
		s.wakeTask(t, now.Add(t.backoff()))
	}
	if t.job.isGang() && outcome != committer.Succeeded {
		s.breakGang(now, t.job)
	}
	// The last task of a broken gang job to leave may be one that succeeded.
	if t.job.isGang() || !t.withdrawn && !outcome.IsFinal() {
		s.submit(now, t.job, []*task{t})
	}
}

func (s *Starter) commitEnd(now time.Time, t *task, outcome committer.Outcome, reason string) {
	record := t.record(committer.Ended, s.right.Epoch, now)
	record.Outcome, record.Reason = outcome, reason
	s.endings[t.name()] = true
	s.emit(CommitRecord{Record: record})
}

// countFailure counts a failed attempt and returns the outcome with the attempts left in mind.
func (s *Starter) countFailure(now time.Time, t *task) committer.Outcome {
	if !t.startedAt.IsZero() && now.Sub(t.startedAt) >= stableAfter {
		t.failures = 0
	}
	t.failures++
	if t.failures >= t.maxAttempts(s.settings.maxAttempts) {
		return committer.GivenUp
	}
	return committer.Failed
}

// finish marks a task that does not run again.
func (t *task) finish(outcome committer.Outcome) {
	t.job.finished[t.id.Index] = outcome
	delete(t.job.tasks, t.id.Index)
}

// endDurable reports a finished task only now: a member that dies before the end is durable and whose backend server
// dies as well would leave a task that runs again.
func (s *Starter) endDurable(record committer.Record) {
	delete(s.endings, Attempt{Task: record.Task, Number: record.Attempt})
	if record.Outcome.IsFinal() {
		s.emit(ReportFinished{Task: record.Task, Outcome: record.Outcome, Reason: record.Reason})
	}
}

// breakGang stops the other tasks of a gang job after one ended early. The job is submitted again as a whole when all
// have left.
func (s *Starter) breakGang(now time.Time, j *job) {
	if j.breaking {
		return
	}
	j.breaking = true
	for _, t := range j.ordered() {
		if t.state == Pending {
			s.unsubmit(now, t)
		} else {
			s.evict(now, t)
		}
	}
	j.breaking = false
}
