package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// commitStart begins an attempt on the backend server that the placer chose, by committing its start record.
func (s *Starter) commitStart(now time.Time, place placer.PlaceTask) {
	t := s.taskOf(place.Task)
	srv := s.servers[place.Server]
	if t == nil || srv == nil || t.state != Pending {
		s.notifyPlacer(now, placer.TaskReleased{Task: place.Task})
		return
	}
	t.submitted = false
	t.state = Committing
	t.attempt++
	t.server = srv
	t.resources = place.Resources
	t.committed, t.sent, t.cancelled, t.mustEnd, t.unconfirmed = false, false, false, false, false
	t.startedAt, t.leaseUntil, t.wakeAt = time.Time{}, time.Time{}, time.Time{}
	srv.tasks[t.id] = t
	s.emit(CommitRecord{Record: t.record(committer.Started, s.right.Epoch, now)})
}

func (s *Starter) recordsCommitted(now time.Time, records []committer.Record) {
	for _, record := range records {
		if record.Kind == committer.Ended {
			s.endCommitted(record)
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

// tryStart sends a committed start if this member has the right to start tasks; otherwise the start is held. A gang job
// is started when the starts of all its unfinished tasks are committed.
func (s *Starter) tryStart(now time.Time, t *task) {
	delete(s.held, t.id)
	if t.state != Committing || !t.committed {
		return
	}
	if t.cancelled {
		s.endAttempt(now, t, committer.Stopped, "")
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
		Server: t.server.id, Attempt: t.currentAttempt(), Epoch: s.right.Epoch, Resources: t.resources,
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

func (s *Starter) startResponded(now time.Time, e StartResponded) {
	t := s.taskOf(e.Task)
	if t == nil || t.attempt != e.Attempt || t.server == nil || t.server.id != e.Server || e.Result == OutcomeUnknown {
		return
	}
	s.recordContact(now, t.server)
	switch {
	case e.Result == Refused && t.state == Starting:
		s.endAttempt(now, t, committer.Failed, "backend server refused the start")
	case e.Result == Refused && t.state != Committing:
		s.endAttempt(now, t, committer.Stopped, "")
	case t.state == Starting:
		s.markRunning(now, t)
	case t.startedAt.IsZero():
		t.startedAt = now
	}
}

func (s *Starter) markRunning(now time.Time, t *task) {
	t.state = Running
	t.startedAt = now
	t.wakeAt = time.Time{}
	s.notifyPlacer(now, placer.TaskStarted{Task: t.id})
}

// evict requests a checkpoint of a running task, after which it ends. A task in another state is stopped, unless it is
// ending already.
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
	t.mustEnd = true
	s.wakeTask(t, now.Add(s.settings.checkpointTime))
	s.emit(CheckpointTask{Server: t.server.id, Attempt: t.currentAttempt(), Epoch: s.right.Epoch})
}

// stop ends an attempt. A start that was not sent is cancelled, and an attempt on a lost backend server is only marked
// to end. Any other attempt ends when the backend server confirms it.
func (s *Starter) stop(now time.Time, t *task) {
	switch t.state {
	case Committing:
		t.cancelled = true
		if t.committed {
			s.tryStart(now, t)
		}
	case Starting, Running, Checkpointing, Stopping:
		t.state = Stopping
		t.mustEnd = true
		s.wakeTask(t, now.Add(resendInterval))
		s.emit(StopTask{Server: t.server.id, Attempt: t.currentAttempt(), Epoch: s.right.Epoch})
	case Lost:
		t.mustEnd = true
	}
}

func (s *Starter) attemptEnded(now time.Time, e AttemptEnded) {
	if srv := s.servers[e.Server]; srv != nil {
		s.recordContact(now, srv)
	}
	t := s.taskOf(e.Task)
	if t == nil || t.attempt != e.Attempt || t.server == nil || t.server.id != e.Server || !t.sent {
		return
	}
	s.endAttempt(now, t, e.Outcome, e.Reason)
}

// endAttempt ends an attempt that is certain not to run any more, and finishes, drops or retries its task.
func (s *Starter) endAttempt(now time.Time, t *task, outcome committer.Outcome, reason string) {
	if outcome == committer.Succeeded && t.job.description.Policy == describer.ServiceJob {
		outcome, reason = committer.Failed, "service task ended"
	}
	if s.evaluateAttempt(now, t, outcome) && outcome == committer.Failed {
		outcome = s.countFailure(now, t)
	}
	s.commitEnd(now, t, outcome, reason)
	delete(t.server.tasks, t.id)
	delete(s.held, t.id)
	t.server = nil
	t.state = Pending
	t.wakeAt = time.Time{}
	s.notifyPlacer(now, placer.TaskReleased{Task: t.id, Completed: outcome == committer.Succeeded})
	switch {
	case t.withdrawn:
		s.drop(now, t)
	case outcome.IsFinal():
		t.finish(outcome)
	case outcome == committer.Failed:
		s.wakeTask(t, now.Add(t.backoff()))
	}
	if t.job.isGang() && outcome != committer.Succeeded {
		s.stopGang(now, t.job)
	}
	// The last task of a stopped gang job to end may be one that succeeded, so the gang job is submitted here as well.
	if t.job.isGang() || !t.withdrawn && !outcome.IsFinal() {
		s.submit(now, t.job, []*task{t})
	}
}

func (s *Starter) commitEnd(now time.Time, t *task, outcome committer.Outcome, reason string) {
	record := t.record(committer.Ended, s.right.Epoch, now)
	record.Outcome, record.Reason = outcome, reason
	s.uncommittedEnds[t.currentAttempt()] = true
	s.emit(CommitRecord{Record: record})
}

// countFailure counts a failed attempt and returns its outcome: GivenUp if no attempts remain, otherwise Failed.
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

// finish records the final outcome of a task.
func (t *task) finish(outcome committer.Outcome) {
	t.job.finished[t.id.Index] = outcome
	delete(t.job.tasks, t.id.Index)
}

// endCommitted reports a finished task once its end record is durable, not earlier: if this member and the backend
// server both failed before the record is durable, the task would run again although it was reported as finished.
func (s *Starter) endCommitted(record committer.Record) {
	delete(s.uncommittedEnds, Attempt{Task: record.Task, Number: record.Attempt})
	if record.Outcome.IsFinal() {
		s.emit(ReportFinished{Task: record.Task, Outcome: record.Outcome, Reason: record.Reason})
	}
}

// stopGang stops the other tasks of a gang job after one ended early. The job is submitted again as a whole when all of
// them have ended.
func (s *Starter) stopGang(now time.Time, j *job) {
	if j.stopping {
		return
	}
	j.stopping = true
	for _, t := range j.ordered() {
		if t.state == Pending {
			s.unsubmit(now, t)
		} else {
			s.evict(now, t)
		}
	}
	j.stopping = false
}
