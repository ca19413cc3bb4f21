package starter_test

import (
	"slices"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

// runningTask is an attempt on a fake backend server.
type runningTask struct {
	resources  describer.Resources
	leaseUntil time.Time
	endsAt     time.Time
	outcome    committer.Outcome
}

// backend is a fake backend server: it keeps leases, refuses calls with an older epoch, and refuses the start of an
// attempt that was stopped before.
type backend struct {
	describer.BackendServer
	epoch       describer.Epoch
	tasks       map[starter.Attempt]*runningTask
	stopped     map[starter.Attempt]bool
	partitioned bool
	failsAll    bool
}

func (sim *simulation) backendOf(id describer.BackendServerID) *backend {
	for _, b := range sim.backends {
		if b.ID == id {
			return b
		}
	}
	return &backend{partitioned: true}
}

// call delivers a call unless the backend server is partitioned or gone. The call is current unless the backend server
// has seen a newer epoch.
func (sim *simulation) call(id describer.BackendServerID, epoch describer.Epoch) (b *backend, delivered, current bool) {
	b = sim.backendOf(id)
	if b.partitioned || b.State == describer.Gone {
		return b, false, false
	}
	if epoch < b.epoch {
		return b, true, false
	}
	b.epoch = epoch
	return b, true, true
}

// respond sends the response to a call to the member, unless the response is lost.
func (sim *simulation) respond(m *member, event starter.Event) {
	if sim.lostCallResponses > 0 {
		sim.lostCallResponses--
		return
	}
	sim.send(m, event)
}

func (sim *simulation) execute(m *member, command starter.Command) {
	switch c := command.(type) {
	case starter.CommitRecord:
		if !m.sealed {
			m.pending = append(m.pending, c.Record)
		}
	case starter.ReportFinished:
		if !m.sealed {
			sim.finished[c.Task] = c.Outcome
		}
	case starter.StartTask:
		sim.start(m, c)
	case starter.RenewLeases:
		b, _, current := sim.call(c.Server, c.Epoch)
		if !current {
			return
		}
		for _, attempt := range c.Attempts {
			if task := b.tasks[attempt]; task != nil {
				task.leaseUntil = sim.now.Add(time.Duration(c.LeaseSeconds) * time.Second)
			}
		}
		sim.respond(m, starter.RenewResponded{Server: c.Server, Epoch: c.Epoch})
	case starter.StopTask:
		sim.end(m, c.Server, c.Attempt, c.Epoch, committer.Stopped)
	case starter.CheckpointTask:
		sim.end(m, c.Server, c.Attempt, c.Epoch, committer.Checkpointed)
	}
}

func (sim *simulation) start(m *member, c starter.StartTask) {
	if !sim.isDurable(committer.Started, c.Attempt) {
		sim.t.Fatalf("%v: start of %v was sent before its commit", sim.now.Sub(startTime), c.Attempt)
	}
	sim.checkGang(c.Attempt)
	b, delivered, current := sim.call(c.Server, c.Epoch)
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
			resources: c.Resources, leaseUntil: sim.now.Add(time.Duration(c.LeaseSeconds) * time.Second),
			endsAt: sim.now.Add(sim.runTime(c.Attempt)),
		}
	}
	sim.respond(m, starter.StartResponded{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: result,
	})
}

func (sim *simulation) isDurable(kind committer.RecordKind, attempt starter.Attempt) bool {
	return slices.ContainsFunc(sim.durable, func(r committer.Record) bool {
		return r.Kind == kind && r.Task == attempt.Task && r.Attempt == attempt.Number
	})
}

// checkGang asserts that a task of a gang job starts only when the starts of all its unfinished tasks are durable.
func (sim *simulation) checkGang(attempt starter.Attempt) {
	if attempt.Task.Job != "gang" {
		return
	}
	last := make(map[int]committer.Record)
	for _, record := range sim.durable {
		if record.Task.Job == "gang" {
			last[record.Task.Index] = record
		}
	}
	for index := range sim.jobs[2].Tasks {
		record := last[index]
		if record.Kind != committer.Started && !record.Outcome.IsFinal() {
			sim.t.Fatalf("%v: start of %v was sent without task %d", sim.now.Sub(startTime), attempt, index)
		}
	}
}

func (sim *simulation) runTime(attempt starter.Attempt) time.Duration {
	if attempt.Task.Job == "service" {
		return 1000 * time.Hour
	}
	return time.Duration(20+attempt.Task.Index%5*15) * time.Second
}

func (sim *simulation) end(
	m *member, id describer.BackendServerID, attempt starter.Attempt, epoch describer.Epoch, outcome committer.Outcome,
) {
	b, _, current := sim.call(id, epoch)
	if !current {
		return
	}
	if task := b.tasks[attempt]; task != nil && task.outcome != "" {
		outcome = task.outcome
	}
	delete(b.tasks, attempt)
	b.stopped[attempt] = true
	sim.respond(m, starter.AttemptEnded{Server: id, Task: attempt.Task, Attempt: attempt.Number, Outcome: outcome})
}
