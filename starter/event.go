package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// Event is something that happened to the zone's tasks.
type Event interface {
	isEvent()
}

// RightChanged replaces this member's right to place tasks. A paused member finds its deadlines in the past.
type RightChanged struct {
	Epoch describer.Epoch
	// StartUntil is until when new tasks may be started.
	StartUntil time.Time
	// RenewUntil is until when the leases of running tasks may be renewed.
	RenewUntil time.Time
}

// ServersChanged replaces the known backend servers of the zone.
type ServersChanged struct {
	Servers []describer.BackendServer
}

// TasksAssigned reports that tasks of a job belong to this zone.
type TasksAssigned struct {
	Job   describer.Job
	First int
	Count int
}

// TasksWithdrawn reports that tasks of a job no longer belong to this zone.
type TasksWithdrawn struct {
	Job   describer.JobID
	First int
	Count int
}

// RecordsRecovered ends the recovery of a new placing member with the store's records. Before it, nothing is placed.
type RecordsRecovered struct {
	Records  []committer.Record
	Finished []committer.Finished
}

// RecordsCommitted reports that records are durable.
type RecordsCommitted struct {
	Records []committer.Record
}

// Fenced reports that a newer placing member has taken over; the starter does nothing more.
type Fenced struct{}

// StartResult is the answer to a start.
type StartResult int

// The results of a start.
const (
	// NoAnswer means that the start may have taken effect.
	NoAnswer StartResult = iota
	// Accepted means that the backend server runs the task.
	Accepted
	// Refused means that the backend server does not run the task.
	Refused
)

// StartAnswered reports the answer to StartTask.
type StartAnswered struct {
	Server  describer.BackendServerID
	Task    describer.TaskID
	Attempt int
	Result  StartResult
}

// TaskLeft reports that a backend server confirmed the end of an attempt.
type TaskLeft struct {
	Server  describer.BackendServerID
	Task    describer.TaskID
	Attempt int
	Outcome committer.Outcome
	Reason  string
}

// RenewAnswered reports that a backend server accepted RenewLeases, and with it the epoch.
type RenewAnswered struct {
	Server describer.BackendServerID
	Epoch  describer.Epoch
}

// TaskReport is one task in a usage report. Outcome is empty while the task runs.
type TaskReport struct {
	Task    describer.TaskID
	Attempt int
	Outcome committer.Outcome
	Reason  string
	Used    describer.Resources
}

// ServerReported reports the tasks on a backend server, sampled some time before. A backend server lists ended tasks
// until they are stopped.
type ServerReported struct {
	Server    describer.BackendServerID
	SampledAt time.Time
	Tasks     []TaskReport
}

// Ticked reports that the time given by NextDeadline has come.
type Ticked struct{}

func (RightChanged) isEvent()     {}
func (ServersChanged) isEvent()   {}
func (TasksAssigned) isEvent()    {}
func (TasksWithdrawn) isEvent()   {}
func (RecordsRecovered) isEvent() {}
func (RecordsCommitted) isEvent() {}
func (Fenced) isEvent()           {}
func (StartAnswered) isEvent()    {}
func (TaskLeft) isEvent()         {}
func (RenewAnswered) isEvent()    {}
func (ServerReported) isEvent()   {}
func (Ticked) isEvent()           {}
