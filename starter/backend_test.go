package starter_test

import (
	"slices"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

// runningTask is an attempt at a fake backend server.
type runningTask struct {
	resources  describer.Resources
	leaseUntil time.Time
	endsAt     time.Time
	outcome    committer.Outcome
}

// backend is a fake backend server: it keeps leases, refuses old epochs and remembers stopped attempts.
type backend struct {
	describer.BackendServer
	epoch       describer.Epoch
	tasks       map[starter.Attempt]*runningTask
	stopped     map[starter.Attempt]bool
	partitioned bool
	failsAll    bool
}

func (w *world) backendOf(id describer.BackendServerID) *backend {
	for _, b := range w.backends {
		if b.ID == id {
			return b
		}
	}
	return &backend{partitioned: true}
}

// reach delivers a call unless the backend server is cut off, gone, or has seen a newer epoch.
func (w *world) reach(id describer.BackendServerID, epoch describer.Epoch) (b *backend, delivered, current bool) {
	b = w.backendOf(id)
	if b.partitioned || b.State == describer.Gone {
		return b, false, false
	}
	if epoch < b.epoch {
		return b, true, false
	}
	b.epoch = epoch
	return b, true, true
}

// answer tells the member, unless the answer is lost.
func (w *world) answer(m *member, event starter.Event) {
	if w.loseCall > 0 {
		w.loseCall--
		return
	}
	w.send(m, event)
}

func (w *world) obey(m *member, command starter.Command) {
	switch c := command.(type) {
	case starter.CommitRecord:
		if !m.sealed {
			m.pending = append(m.pending, c.Record)
		}
	case starter.ReportFinished:
		if !m.sealed {
			w.finished[c.Task] = c.Outcome
		}
	case starter.StartTask:
		w.start(m, c)
	case starter.RenewLeases:
		b, _, current := w.reach(c.Server, c.Epoch)
		if !current {
			return
		}
		for _, attempt := range c.Attempts {
			if task := b.tasks[attempt]; task != nil {
				task.leaseUntil = w.now.Add(time.Duration(c.LeaseSeconds) * time.Second)
			}
		}
		w.answer(m, starter.RenewAnswered{Server: c.Server, Epoch: c.Epoch})
	case starter.StopTask:
		w.end(m, c.Server, c.Attempt, c.Epoch, committer.Stopped)
	case starter.CheckpointTask:
		w.end(m, c.Server, c.Attempt, c.Epoch, committer.Checkpointed)
	}
}

func (w *world) start(m *member, c starter.StartTask) {
	if !w.isDurable(committer.Started, c.Attempt) {
		w.t.Fatalf("%v: start of %v was sent before its commit", w.now.Sub(began), c.Attempt)
	}
	w.checkGang(c.Attempt)
	b, delivered, current := w.reach(c.Server, c.Epoch)
	if !delivered {
		return
	}
	result := starter.Accepted
	switch {
	case !current || b.stopped[c.Attempt]:
		result = starter.Refused
	case b.tasks[c.Attempt] == nil && b.failsAll:
		result = starter.Refused
		b.stopped[c.Attempt] = true
	case b.tasks[c.Attempt] == nil:
		b.tasks[c.Attempt] = &runningTask{
			resources: c.Resources, leaseUntil: w.now.Add(time.Duration(c.LeaseSeconds) * time.Second),
			endsAt: w.now.Add(w.runTime(c.Attempt)),
		}
	}
	w.answer(m, starter.StartAnswered{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: result,
	})
}

func (w *world) isDurable(kind committer.RecordKind, attempt starter.Attempt) bool {
	return slices.ContainsFunc(w.durable, func(r committer.Record) bool {
		return r.Kind == kind && r.Task == attempt.Task && r.Attempt == attempt.Number
	})
}

// checkGang asserts that a task of a gang job starts only when the starts of all its unfinished tasks are durable.
func (w *world) checkGang(attempt starter.Attempt) {
	if attempt.Task.Job != "gang" {
		return
	}
	last := make(map[int]committer.Record)
	for _, record := range w.durable {
		if record.Task.Job == "gang" {
			last[record.Task.Index] = record
		}
	}
	for index := range w.jobs[2].Tasks {
		record := last[index]
		if record.Kind != committer.Started && !record.Outcome.IsFinal() {
			w.t.Fatalf("%v: start of %v was sent without task %d", w.now.Sub(began), attempt, index)
		}
	}
}

func (w *world) runTime(attempt starter.Attempt) time.Duration {
	if attempt.Task.Job == "service" {
		return 1000 * time.Hour
	}
	return time.Duration(20+attempt.Task.Index%5*15) * time.Second
}

func (w *world) end(
	m *member, id describer.BackendServerID, attempt starter.Attempt, epoch describer.Epoch, outcome committer.Outcome,
) {
	b, _, current := w.reach(id, epoch)
	if !current {
		return
	}
	if task := b.tasks[attempt]; task != nil && task.outcome != "" {
		outcome = task.outcome
	}
	delete(b.tasks, attempt)
	b.stopped[attempt] = true
	w.answer(m, starter.TaskLeft{Server: id, Task: attempt.Task, Attempt: attempt.Number, Outcome: outcome})
}
