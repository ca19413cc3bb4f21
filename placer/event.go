package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

// Event reports a change of the zone's tasks or backend servers.
type Event interface {
	isEvent()
}

// ServersChanged replaces the known backend servers of the zone.
type ServersChanged struct {
	Servers []describer.BackendServer
}

// ServerEjected ejects a backend server: it gets no new tasks until it is probed or readmitted.
type ServerEjected struct {
	Server describer.BackendServerID
}

// ServerProbed allows one more task on an ejected backend server.
type ServerProbed struct {
	Server describer.BackendServerID
}

// ServerReadmitted ends the ejection of a backend server.
type ServerReadmitted struct {
	Server describer.BackendServerID
}

// TasksSubmitted queues tasks for placement. For a gang job the event carries all its tasks.
type TasksSubmitted struct {
	Job     describer.Job
	Indices []int
}

// TasksWithdrawn removes tasks that wait for placement from the queue. A gang job is withdrawn as a whole.
type TasksWithdrawn struct {
	Job     describer.JobID
	Indices []int
}

// JobRemoved drops the estimates of a job that has no more tasks.
type JobRemoved struct {
	Job describer.JobID
}

// TaskRecovered reports a task that is already on a backend server. It is sent while the state is rebuilt.
type TaskRecovered struct {
	Job       describer.Job
	Index     int
	Server    describer.BackendServerID
	StartedAt time.Time
	// Resources is the amount that was sent to the backend server with the start.
	Resources describer.Resources
}

// TaskStarted reports that a placed task runs.
type TaskStarted struct {
	Task describer.TaskID
}

// TaskReleased reports that a task has left its backend server and uses no resources there.
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
func (ServerEjected) isEvent()    {}
func (ServerProbed) isEvent()     {}
func (ServerReadmitted) isEvent() {}
func (TasksSubmitted) isEvent()   {}
func (TasksWithdrawn) isEvent()   {}
func (JobRemoved) isEvent()       {}
func (TaskRecovered) isEvent()    {}
func (TaskStarted) isEvent()      {}
func (TaskReleased) isEvent()     {}
func (UsageReported) isEvent()    {}
func (Ticked) isEvent()           {}
