package starter

import (
	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// Command is something that the caller of the core has to do.
type Command interface {
	isCommand()
}

// CommitRecord makes a record durable; RecordsCommitted answers it.
type CommitRecord struct {
	Record committer.Record
}

// Attempt names one attempt of a task.
type Attempt struct {
	Task   describer.TaskID
	Number int
}

// StartTask starts an attempt at a backend server. A call is given up CallTimeout after it was sent.
type StartTask struct {
	Server       describer.BackendServerID
	Attempt      Attempt
	Epoch        describer.Epoch
	Resources    describer.Resources
	LeaseSeconds int64
}

// RenewLeases renews the leases of the attempts at a backend server, and shows it the epoch.
type RenewLeases struct {
	Server       describer.BackendServerID
	Epoch        describer.Epoch
	Attempts     []Attempt
	LeaseSeconds int64
}

// CheckpointTask asks for a checkpoint after which the attempt ends.
type CheckpointTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// StopTask stops an attempt, or lets the backend server forget one that has ended.
type StopTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// ThrottleTask slows an attempt down.
type ThrottleTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// ReportFinished reports a task that does not run again.
type ReportFinished struct {
	Task    describer.TaskID
	Outcome committer.Outcome
	Reason  string
}

func (CommitRecord) isCommand()   {}
func (StartTask) isCommand()      {}
func (RenewLeases) isCommand()    {}
func (CheckpointTask) isCommand() {}
func (StopTask) isCommand()       {}
func (ThrottleTask) isCommand()   {}
func (ReportFinished) isCommand() {}
