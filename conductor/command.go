package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Command is something to do.
type Command interface{ command() }

// Change is the new record of a job.
type Change struct {
	Job   specifier.JobID
	Value []byte
	// Final says that the job is finished, so that its submission is no longer needed.
	Final bool
}

// Commit asks to write records to the store under the ownership of the cell.
type Commit struct {
	Lane    int
	Changes []Change
}

// Start asks a backend server to start a run.
type Start struct {
	Server specifier.Server
	Order  specifier.StartOrder
}

// Stop asks a backend server to stop a run.
type Stop struct {
	Server specifier.Server
	Task   specifier.TaskID
	Run    int
	Fence  int64
}

// Hold asks a backend server to renew its lease, to forget acknowledged ends and to report.
type Hold struct {
	Server   specifier.Server
	Sequence int
	Fence    int64
	// Acknowledged is the number of the newest end that the store has.
	Acknowledged int64
	// LeaseEnd is on the clock of the backend server; zero when its clock is not known yet.
	LeaseEnd time.Duration
	// Wait is how long the server may wait for an end before it answers.
	Wait time.Duration
}

// Advise asks an instance to call the advice service.
type Advise struct {
	Advisor string
	Step    specifier.StepID
	Servers []specifier.ServerID
	// ExpectedTime is how long the service takes, and Timeout when the call counts as failed.
	ExpectedTime time.Duration
	Timeout      time.Duration
}

// Resign asks to give up the ownership of the cell.
type Resign struct{ Reason string }

// Forget asks to delete the keys of jobs that have been final for long.
type Forget struct{ Jobs []specifier.JobID }

// Decision describes a decision for the log.
type Decision struct {
	Name   string
	Task   specifier.TaskID
	Run    int
	Server specifier.ServerID
	Detail string
}

func (Commit) command()   {}
func (Start) command()    {}
func (Stop) command()     {}
func (Hold) command()     {}
func (Advise) command()   {}
func (Resign) command()   {}
func (Forget) command()   {}
func (Decision) command() {}
