package starter

import (
	"time"

	"egretring.example/egretring/describer"
)

// TaskStatus is the status of an unfinished task.
type TaskStatus struct {
	Task    describer.TaskID
	State   State
	Attempt int
	// Server is empty for a task that is not placed.
	Server    describer.BackendServerID
	StartedAt time.Time
	// LeaseUntil is until when the attempt may run at its backend server.
	LeaseUntil time.Time
	// RetryAt is when a pending task is retried after a failure.
	RetryAt  time.Time
	Failures int
}

// Tasks returns the unfinished tasks, ordered by job and index.
func (s *Starter) Tasks() []TaskStatus {
	var all []*task
	for _, j := range s.jobs {
		all = append(all, j.ordered()...)
	}
	sortTasks(all)
	list := make([]TaskStatus, 0, len(all))
	for _, t := range all {
		status := TaskStatus{
			Task: t.id, State: t.state, Attempt: t.attempt, StartedAt: t.startedAt, Failures: t.failures,
		}
		if t.server != nil {
			status.Server, status.LeaseUntil = t.server.id, t.leaseUntil
			if t.server.leaseUntil.After(status.LeaseUntil) {
				status.LeaseUntil = t.server.leaseUntil
			}
		}
		if t.state == Pending {
			status.RetryAt = t.wakeAt
		}
		list = append(list, status)
	}
	return list
}
