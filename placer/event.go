package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Event is something that happened to the zone's tasks or backend servers.
type Event interface {
	isEvent()
}

// ServersChanged replaces the known backend servers of the zone.
type ServersChanged struct {
	Servers []describer.BackendServer
}

// ServerSetAside reports that a backend server gets no new tasks until it is probed or readmitted.
type ServerSetAside struct {
	Server describer.BackendServerID
}

// ServerProbed allows one more task on a backend server that is set aside.
type ServerProbed struct {
	Server describer.BackendServerID
}

// ServerReadmitted ends the setting aside of a backend server.
type ServerReadmitted struct {
	Server describer.BackendServerID
}

// TasksSubmitted reports tasks that wait for a place. For a gang job the event carries all its tasks.
type TasksSubmitted struct {
	Job     describer.Job
	Indices []int
}

// TasksWithdrawn takes back tasks that wait for a place. A gang job is taken back as a whole.
type TasksWithdrawn struct {
	Job     describer.JobID
	Indices []int
}

// JobForgotten drops what was learned about a job that has no more tasks.
type JobForgotten struct {
	Job describer.JobID
}

// TaskAdopted reports a task that already has a place, found while the state is rebuilt.
type TaskAdopted struct {
	Job       describer.Job
	Index     int
	Server    describer.BackendServerID
	StartedAt time.Time
	// Resources is the room that the backend server was told at the start.
	Resources describer.Resources
}

// TaskStarted reports that a placed task runs.
type TaskStarted struct {
	Task describer.TaskID
}

// TaskReleased reports that a task has left its backend server and occupies nothing there.
type TaskReleased struct {
	Task describer.TaskID
	// Completed is true when the task ran to its end, so that its run time can be learned.
	Completed bool
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Task describer.TaskID
	Used describer.Resources
}

// UsageReported reports the measured use of the tasks on a backend server, sampled some time before.
type UsageReported struct {
	Server    describer.BackendServerID
	SampledAt time.Time
	Tasks     []TaskUsage
}

// Ticked reports that the time given by NextDeadline has come.
type Ticked struct{}

func (ServersChanged) isEvent()   {}
func (ServerSetAside) isEvent()   {}
func (ServerProbed) isEvent()     {}
func (ServerReadmitted) isEvent() {}
func (TasksSubmitted) isEvent()   {}
func (TasksWithdrawn) isEvent()   {}
func (JobForgotten) isEvent()     {}
func (TaskAdopted) isEvent()      {}
func (TaskStarted) isEvent()      {}
func (TaskReleased) isEvent()     {}
func (UsageReported) isEvent()    {}
func (Ticked) isEvent()           {}
