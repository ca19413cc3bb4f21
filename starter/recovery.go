package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// recoverRecords rebuilds the state of the zone from the store's records. The tasks of the plan and the backend
// servers are known by then. Reports of the backend servers confirm or refute the records afterwards.
func (s *Starter) recoverRecords(now time.Time, e RecordsRecovered) {
	s.recovered = true
	for _, finished := range e.Finished {
		s.recoverFinished(finished)
	}
	for _, record := range e.Records {
		t := s.recoverTask(record)
		if t == nil {
			continue
		}
		t.attempt, t.failures, t.resources = record.Attempt, record.Failures, record.Resources
		if record.Kind == committer.Started {
			s.adopt(now, t, record)
		} else if record.Outcome == committer.Failed {
			s.wakeTask(t, record.At.Add(t.backoff()))
		}
	}
	s.submitRecovered(now)
	for _, known := range s.orderedServers() {
		// The first renewal shows the epoch, from which on the backend server refuses starts of earlier members.
		known.renewAt = now
		s.wakeServer(known, now)
	}
}

func (s *Starter) recoverFinished(finished committer.Finished) {
	j := s.jobs[finished.Job]
	if j == nil {
		return
	}
	for index := finished.First; index < finished.First+finished.Count; index++ {
		if j.tasks[index] != nil {
			delete(j.tasks, index)
			j.finished[index] = finished.Outcome
		}
	}
}

// recoverTask returns the task of a record. A started task that the plan no longer gives to this zone is kept until it
// has been stopped; the caller of adopt stops it.
func (s *Starter) recoverTask(record committer.Record) *task {
	if t := s.taskOf(record.Task); t != nil || record.Kind == committer.Ended {
		return t
	}
	j := s.jobs[record.Task.Job]
	if j == nil {
		j = newJob(describer.Job{ID: record.Task.Job, Policy: describer.BatchJob, PerTask: record.Resources})
		s.jobs[record.Task.Job] = j
	}
	t := &task{id: record.Task, job: j, state: Pending, withdrawn: true}
	j.tasks[record.Task.Index] = t
	return t
}

// adopt takes over an attempt of an earlier placing member. The earlier member may have renewed its lease until just
// before this member took over.
func (s *Starter) adopt(now time.Time, t *task, record committer.Record) {
	on := s.servers[record.Server]
	if on == nil {
		on = s.addServer(now, record.Server)
		on.state, on.lost = describer.Gone, true
	}
	t.server = on
	t.state = Running
	t.committed, t.sent, t.adopted = true, true, true
	t.startedAt = record.At
	t.leaseUntil = now.Add(CallTimeout + s.settings.lease)
	on.tasks[t.id] = t
	s.place(now, placer.TaskAdopted{
		Job: t.job.description, Index: t.id.Index, Server: on.id, StartedAt: record.At,
		Resources: record.Resources,
	})
	switch {
	case on.lost:
		t.state = Lost
		s.checkLost(now, t)
	case t.withdrawn:
		s.stop(now, t)
	}
}

// submitRecovered submits the tasks that have no attempt, and stops gang jobs of which only a part was started.
func (s *Starter) submitRecovered(now time.Time) {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	for _, j := range jobs {
		tasks := j.ordered()
		waiting := 0
		for _, t := range tasks {
			if t.state == Pending {
				waiting++
			}
		}
		if j.isGang() && waiting > 0 && waiting < len(tasks) {
			s.breakGang(now, j)
		}
		s.submit(now, j, tasks)
	}
}
