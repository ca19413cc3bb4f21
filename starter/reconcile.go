package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// reconcile compares a report with the attempts that should run on a backend server. It stops reported attempts that
// should not run, and ends attempts that are proven not to run.
func (s *Starter) reconcile(now time.Time, e ServerReported) {
	srv := s.servers[e.Server]
	if srv == nil || !s.recovered {
		return
	}
	s.recordContact(now, srv)
	reported := make(map[describer.TaskID]int, len(e.Tasks))
	usage := make([]placer.TaskUsage, 0, len(e.Tasks))
	for _, report := range e.Tasks {
		reported[report.Task] = max(reported[report.Task], report.Attempt)
		if s.reconcileTask(now, srv, report) {
			usage = append(usage, placer.TaskUsage{Task: report.Task, Used: report.Used})
		}
	}
	for _, t := range srv.missing(reported) {
		if t.server == srv && srv.provesAbsence(t, e.SampledAt, s.right.Epoch) {
			s.endAttempt(now, t, committer.Lost, "backend server does not run the task")
		}
	}
	s.notifyPlacer(now, placer.UsageReported{Server: e.Server, SampledAt: e.SampledAt, Tasks: usage})
	s.readmitAfterProbe(now, srv)
}

// reconcileTask handles one reported attempt, and returns whether it is the current one and runs.
func (s *Starter) reconcileTask(now time.Time, srv *server, report TaskReport) bool {
	t := s.taskOf(report.Task)
	if t == nil || t.server != srv || t.attempt != report.Attempt {
		s.stopUnknown(now, srv, Attempt{Task: report.Task, Number: report.Attempt})
		return false
	}
	if report.Outcome != "" {
		s.endAttempt(now, t, report.Outcome, report.Reason)
		return false
	}
	t.unconfirmed = false
	if t.state == Starting {
		s.markRunning(now, t)
	}
	return true
}

// stopUnknown stops an attempt that should not run, or makes the backend server delete its entry if it has ended. An
// attempt whose end record is not durable yet stays listed, so that a new placing member finds it in the report.
func (s *Starter) stopUnknown(now time.Time, srv *server, attempt Attempt) {
	if s.uncommittedEnds[attempt] || !now.Before(s.right.RenewUntil) {
		return
	}
	s.emit(StopTask{Server: srv.id, Attempt: attempt, Epoch: s.right.Epoch})
}

// missing returns the attempts that should be on the backend server and are not reported.
func (s *server) missing(reported map[describer.TaskID]int) []*task {
	var missing []*task
	for id, t := range s.tasks {
		if reported[id] != t.attempt {
			missing = append(missing, t)
		}
	}
	sortTasks(missing)
	return missing
}

// provesAbsence reports whether a sample without the attempt proves that it does not run and will not run. An attempt
// that this member started must have been accepted before the sample. For an unconfirmed attempt of an earlier member,
// the sample must be from after the backend server accepted this member's epoch, because before that a start of the
// earlier member could still have been in flight.
func (s *server) provesAbsence(t *task, sampledAt time.Time, epoch describer.Epoch) bool {
	if t.unconfirmed {
		return s.epochKnown == epoch && sampledAt.After(s.epochKnownAt.Add(clockSkew))
	}
	return !t.startedAt.IsZero() && sampledAt.After(t.startedAt.Add(clockSkew))
}
