package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// reconcile compares a report with what should run on a backend server, in both directions.
func (s *Starter) reconcile(now time.Time, e ServerReported) {
	known := s.servers[e.Server]
	if known == nil || !s.recovered {
		return
	}
	s.hear(now, known)
	reported := make(map[describer.TaskID]int, len(e.Tasks))
	usage := make([]placer.TaskUsage, 0, len(e.Tasks))
	for _, report := range e.Tasks {
		reported[report.Task] = max(reported[report.Task], report.Attempt)
		if s.reconcileTask(now, known, report) {
			usage = append(usage, placer.TaskUsage{Task: report.Task, Used: report.Used})
		}
	}
	for _, t := range known.missing(reported) {
		if t.server == known && known.provesAbsence(t, e.SampledAt, s.right.Epoch) {
			s.leave(now, t, committer.Lost, "backend server does not run the task")
		}
	}
	s.place(now, placer.UsageReported{Server: e.Server, SampledAt: e.SampledAt, Tasks: usage})
	s.judgeRunning(now, known)
}

// reconcileTask handles one reported attempt, and reports whether it is the current one and runs.
func (s *Starter) reconcileTask(now time.Time, known *server, report TaskReport) bool {
	t := s.taskOf(report.Task)
	if t == nil || t.server != known || t.attempt != report.Attempt {
		s.stopUnknown(now, known, Attempt{Task: report.Task, Number: report.Attempt})
		return false
	}
	if report.Outcome != "" {
		s.leave(now, t, report.Outcome, report.Reason)
		return false
	}
	t.adopted = false
	if t.state == Starting {
		s.run(now, t)
	}
	return true
}

// stopUnknown stops an attempt that should not run, or lets the backend server forget it. An attempt whose end is not
// durable stays listed, so that a new placing member learns of it.
func (s *Starter) stopUnknown(now time.Time, known *server, attempt Attempt) {
	if s.endings[attempt] || !now.Before(s.right.RenewUntil) {
		return
	}
	s.emit(StopTask{Server: known.id, Attempt: attempt, Epoch: s.right.Epoch})
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
// of this member must have been accepted before the sample. An attempt of an earlier member needs a sample from after
// the backend server accepted the epoch, because an earlier start could still have been on its way.
func (s *server) provesAbsence(t *task, sampledAt time.Time, epoch describer.Epoch) bool {
	if t.adopted {
		return s.epochKnown == epoch && sampledAt.After(s.epochKnownAt.Add(clockSkew))
	}
	return !t.startedAt.IsZero() && sampledAt.After(t.startedAt.Add(clockSkew))
}
