package starter

import (
	"time"

	"egretring.example/egretring/describer"
)

// server is the state of one backend server.
type server struct {
	id    describer.BackendServerID
	state describer.ServerState
	tasks map[describer.TaskID]*task
	// lastContactAt is when the last response or report of the backend server was received.
	lastContactAt time.Time
	// leaseUntil is until when the latest renewal that was sent may keep tasks running.
	leaseUntil time.Time
	// renewAt is when the leases are renewed next.
	renewAt time.Time
	// epochKnownAt is when the acceptance of the epoch by the backend server was received. The backend server refuses
	// starts of an older epoch from then on, so no sample from later can miss one that takes effect afterwards.
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
