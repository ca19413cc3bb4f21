package starter

import (
	"cmp"
	"slices"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// job holds the tasks of a job that are assigned to this zone.
type job struct {
	description describer.Job
	tasks       map[int]*task
	finished    map[int]committer.Outcome
	// stopping is true while stopGang stops the tasks of a gang job because one of them ended early.
	stopping bool
	// failedOn is the set of backend servers on which the job failed since its last success. If there are many, the job
	// is at fault, not the backend servers.
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
