package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// assign adds tasks of a job to this zone.
func (s *Starter) assign(now time.Time, e TasksAssigned) {
	j := s.jobs[e.Job.ID]
	if j == nil {
		j = newJob(e.Job)
		s.jobs[e.Job.ID] = j
	}
	j.description = e.Job
	var added []*task
	for index := e.First; index < e.First+e.Count; index++ {
		if _, finished := j.finished[index]; finished {
			continue
		}
		if known := j.tasks[index]; known != nil {
			known.withdrawn = false
			continue
		}
		t := &task{id: describer.TaskID{Job: e.Job.ID, Index: index}, job: j, state: Pending}
		j.tasks[index] = t
		added = append(added, t)
	}
	s.submit(now, j, added)
}

// submit passes pending tasks to the placer. A gang job is submitted when all its unfinished tasks are ready.
func (s *Starter) submit(now time.Time, j *job, tasks []*task) {
	if !s.recovered {
		return
	}
	if j.isGang() {
		// stopGang stops the tasks one after the other. A submission before it is done would be withdrawn in part.
		if j.stopping || s.giveUpRemaining(now, j) {
			return
		}
		tasks = j.ordered()
		for _, t := range tasks {
			if !t.isReady(now) {
				return
			}
		}
	}
	indices := make([]int, 0, len(tasks))
	for _, t := range tasks {
		if t.isReady(now) {
			t.submitted = true
			t.wakeAt = time.Time{}
			indices = append(indices, t.id.Index)
		}
	}
	if len(indices) > 0 {
		s.notifyPlacer(now, placer.TasksSubmitted{Job: j.description, Indices: indices})
	}
}

// giveUpRemaining gives up the pending tasks of a gang job of which one task was given up, because the gang can no
// longer be complete. It reports whether the job is given up.
func (s *Starter) giveUpRemaining(now time.Time, j *job) bool {
	givenUp := false
	for _, outcome := range j.finished {
		givenUp = givenUp || outcome == committer.GivenUp
	}
	if !givenUp {
		return false
	}
	for _, t := range j.ordered() {
		if t.state == Pending {
			s.commitEnd(now, t, committer.GivenUp, "another task of the gang job was given up")
			t.finish(committer.GivenUp)
		}
	}
	return true
}

// isReady reports whether the task may be submitted.
func (t *task) isReady(now time.Time) bool {
	return t.state == Pending && !t.submitted && !t.withdrawn && !now.Before(t.wakeAt)
}

// withdraw removes tasks of a job from this zone. An attempt that may be running is stopped first.
func (s *Starter) withdraw(now time.Time, e TasksWithdrawn) {
	j := s.jobs[e.Job]
	if j == nil {
		return
	}
	for index := e.First; index < e.First+e.Count; index++ {
		delete(j.finished, index)
		t := j.tasks[index]
		if t == nil {
			continue
		}
		t.withdrawn = true
		switch t.state {
		case Pending:
			s.unsubmit(now, t)
			s.drop(now, t)
		case Lost:
			t.mustEnd = true
		default:
			s.stop(now, t)
		}
	}
	s.removeIfEmpty(now, j)
}

func (s *Starter) unsubmit(now time.Time, t *task) {
	if t.submitted {
		t.submitted = false
		s.notifyPlacer(now, placer.TasksWithdrawn{Job: t.id.Job, Indices: []int{t.id.Index}})
	}
}

// drop removes a task that uses no resources of a backend server.
func (s *Starter) drop(now time.Time, t *task) {
	t.wakeAt = time.Time{}
	delete(t.job.tasks, t.id.Index)
	s.removeIfEmpty(now, t.job)
}

func (s *Starter) removeIfEmpty(now time.Time, j *job) {
	if len(j.tasks) == 0 && len(j.finished) == 0 {
		delete(s.jobs, j.description.ID)
		s.notifyPlacer(now, placer.JobRemoved{Job: j.description.ID})
	}
}
