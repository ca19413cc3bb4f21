package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// Event reports a change that concerns the zone's tasks.
type Event interface {
	isEvent()
}

// PlacementRightChanged replaces this member's right to place tasks, which is valid until the given deadlines. A member
// that was paused finds them in the past, and then starts no task and renews no lease.
type PlacementRightChanged struct {
	Epoch describer.Epoch
	// StartUntil is the deadline for starting new tasks.
	StartUntil time.Time
	// RenewUntil is the deadline for renewing the leases of running tasks.
	RenewUntil time.Time
}

// ServersChanged replaces the known backend servers of the zone.
type ServersChanged struct {
	Servers []describer.BackendServer
}

// TasksAssigned reports that tasks of a job are assigned to this zone.
type TasksAssigned struct {
	Job   describer.Job
	First int
	Count int
}

// TasksWithdrawn reports that tasks of a job are no longer assigned to this zone.
type TasksWithdrawn struct {
	Job   describer.JobID
	First int
	Count int
}

// RecordsRecovered passes the store's records to a new placing member and ends its recovery. No task is placed before
// this event.
type RecordsRecovered struct {
	Records  []committer.Record
	Finished []committer.Finished
}

// RecordsCommitted reports that records are durable.
type RecordsCommitted struct {
	Records []committer.Record
}

// Fenced reports that a newer placing member has taken over. The starter ignores all later events.
type Fenced struct{}

// StartResult is the result of StartTask.
type StartResult int

// The results of a start.
const (
	// OutcomeUnknown means that the outcome is unknown: the start may have taken effect.
	OutcomeUnknown StartResult = iota
	// Accepted means that the backend server runs the task.
	Accepted
	// Refused means that the backend server does not run the task.
	Refused
)

// StartResponded reports the result of StartTask.
type StartResponded struct {
	Server  describer.BackendServerID
	Task    describer.TaskID
	Attempt int
	Result  StartResult
}

// AttemptEnded reports that a backend server confirmed the end of an attempt.
type AttemptEnded struct {
	Server  describer.BackendServerID
	Task    describer.TaskID
	Attempt int
	Outcome committer.Outcome
	Reason  string
}

// RenewResponded reports that a backend server accepted RenewLeases, and with it the epoch.
type RenewResponded struct {
	Server describer.BackendServerID
	Epoch  describer.Epoch
}

// TaskReport is the entry of one attempt in a usage report. Outcome is empty while the attempt runs.
type TaskReport struct {
	Task    describer.TaskID
	Attempt int
	Outcome committer.Outcome
	Reason  string
	Used    describer.Resources
}

// ServerReported reports the tasks on a backend server, sampled some time before. A backend server lists an ended task
// until it receives StopTask for it.
type ServerReported struct {
	Server    describer.BackendServerID
	SampledAt time.Time
	Tasks     []TaskReport
}

// Ticked reports that the time given by NextDeadline has come.
type Ticked struct{}

func (PlacementRightChanged) isEvent() {}
func (ServersChanged) isEvent()        {}
func (TasksAssigned) isEvent()         {}
func (TasksWithdrawn) isEvent()        {}
func (RecordsRecovered) isEvent()      {}
func (RecordsCommitted) isEvent()      {}
func (Fenced) isEvent()                {}
func (StartResponded) isEvent()        {}
func (AttemptEnded) isEvent()          {}
func (RenewResponded) isEvent()        {}
func (ServerReported) isEvent()        {}
func (Ticked) isEvent()                {}
