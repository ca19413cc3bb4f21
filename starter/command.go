package starter

import (
	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// Command is an action that the caller of the starter has to carry out.
type Command interface {
	isCommand()
}

// CommitRecord makes a record durable. The caller confirms it with RecordsCommitted.
type CommitRecord struct {
	Record committer.Record
}

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task   describer.TaskID
	Number int
}

// StartTask starts an attempt on a backend server. The call times out CallTimeout after it was sent.
type StartTask struct {
	Server       describer.BackendServerID
	Attempt      Attempt
	Epoch        describer.Epoch
	Resources    describer.Resources
	LeaseSeconds int64
}

// RenewLeases renews the leases of the attempts on a backend server, and gives it the epoch as a fencing token.
type RenewLeases struct {
	Server       describer.BackendServerID
	Epoch        describer.Epoch
	Attempts     []Attempt
	LeaseSeconds int64
}

// CheckpointTask requests a checkpoint, after which the attempt ends.
type CheckpointTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// StopTask stops an attempt. For an attempt that has ended it makes the backend server delete its entry.
type StopTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// ThrottleTask throttles an attempt.
type ThrottleTask struct {
	Server  describer.BackendServerID
	Attempt Attempt
	Epoch   describer.Epoch
}

// ReportFinished reports the final outcome of a task, which does not run again.
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
