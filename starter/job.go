package starter

import (
	"cmp"
	"slices"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// job is the part of a job that belongs to this zone.
type job struct {
	description describer.Job
	tasks       map[int]*task
	finished    map[int]committer.Outcome
	// breaking is true while the tasks of a gang job are being stopped because one of them ended early.
	breaking bool
	// failedOn counts the backend servers on which the job failed since its last success. Many of them mean that the
	// job is at fault, not the backend servers.
	failedOn map[describer.BackendServerID]bool
}

func newJob(description describer.Job) *job {
	return &job{
		description: description,
		tasks:       make(map[int]*task),
		finished:    make(map[int]committer.Outcome),
		failedOn:    make(map[describer.BackendServerID]bool),
	}
}

func (j *job) isGang() bool {
	return j.description.Policy == describer.GangJob
}

// ordered returns the unfinished tasks by index, so that the order of commands is the same in each run.
func (j *job) ordered() []*task {
	tasks := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Index - b.id.Index })
	return tasks
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.description.ID, b.description.ID) })
}
