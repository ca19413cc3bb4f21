package starter

import (
	"time"

	"egretring.example/egretring/describer"
)

// server is what the starter knows about one backend server.
type server struct {
	id    describer.BackendServerID
	state describer.ServerState
	tasks map[describer.TaskID]*task
	// heardAt is when the backend server last answered or reported.
	heardAt time.Time
	// leaseUntil is until when a renewal that was sent may keep tasks running.
	leaseUntil time.Time
	// renewAt is when the leases are renewed next.
	renewAt time.Time
	// epochKnownAt is when the backend server accepted the epoch; a sample from later shows no start of an older epoch.
	epochKnownAt time.Time
	epochKnown   describer.Epoch
	lost         bool
	health       health
	wakeAt       time.Time
}

func (s *server) wakesAt() time.Time {
	return s.wakeAt
}

func (s *server) ordered() []*task {
	tasks := make([]*task, 0, len(s.tasks))
	for _, t := range s.tasks {
		tasks = append(tasks, t)
	}
	sortTasks(tasks)
	return tasks
}
