package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// recoverRecords rebuilds the state of the zone from the store's records. The assigned tasks and the backend servers
// are already known at this point. Later, the reports of the backend servers confirm or refute the records.
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
			s.takeOver(now, t, record)
		} else if record.Outcome == committer.Failed {
			s.wakeTask(t, record.At.Add(t.backoff()))
		}
	}
	s.submitRecovered(now)
	for _, srv := range s.orderedServers() {
		// The first renewal carries the new epoch; once it is accepted, the backend server refuses starts of earlier
		// members.
		srv.renewAt = now
		s.wakeServer(srv, now)
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

// recoverTask returns the task of a record, or nil if there is nothing to recover. A started task that is no longer
// assigned to this zone is kept until it has been stopped; takeOver stops it.
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

// takeOver takes over an attempt of an earlier placing member. The earlier member may have renewed the lease of the
// attempt until just before this member took over.
func (s *Starter) takeOver(now time.Time, t *task, record committer.Record) {
	srv := s.servers[record.Server]
	if srv == nil {
		srv = s.addServer(now, record.Server)
		srv.state, srv.lost = describer.Gone, true
	}
	t.server = srv
	t.state = Running
	t.committed, t.sent, t.unconfirmed = true, true, true
	t.startedAt = record.At
	t.leaseUntil = now.Add(CallTimeout + s.settings.lease)
	srv.tasks[t.id] = t
	s.notifyPlacer(now, placer.TaskRecovered{
		Job: t.job.description, Index: t.id.Index, Server: srv.id, StartedAt: record.At,
		Resources: record.Resources,
	})
	switch {
	case srv.lost:
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
			s.stopGang(now, j)
		}
		s.submit(now, j, tasks)
	}
}
