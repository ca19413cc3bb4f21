package conductor

import (
	"time"

	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

// Command is an output of the Conductor for the caller to carry out.
type Command interface{ command() }

// Change is the new record of a job.
type Change struct {
	Job   specifier.JobID
	Value []byte
	// Final says that the job is finished, so that its submission is no longer needed.
	Final bool
}

// Commit writes records to the store, on condition that the cell's ownership is unchanged.
type Commit struct {
	Lane    int
	Changes []Change
}

// Size returns the number of bytes of the records.
func (c Commit) Size() int {
	size := 0
	for _, change := range c.Changes {
		size += len(change.Value)
	}
	return size
}

// Start orders a backend server to start a run.
type Start struct {
	Server specifier.Server
	Order  specifier.StartOrder
	// Urgent is set for a step that is placed before all others.
	Urgent bool
}

// Stop orders a backend server to stop a run.
type Stop struct {
	Server specifier.Server
	Task   specifier.TaskID
	Run    int
	Fence  int64
}

// Renew renews the lease of a backend server, acknowledges ends of runs so that the server discards them, and requests
// a report.
type Renew struct {
	Server   specifier.Server
	Sequence int
	Fence    int64
	// Acknowledged is the number of the newest end of a run that is in the store, or zero if there is nothing to acknowledge now.
	Acknowledged int64
	// LeaseEnd is on the clock of the backend server. It is zero when the lease is not to be renewed: while that clock
	// is not known yet or the server does not respond.
	LeaseEnd time.Duration
	// Wait is how long the server may wait for the end of a run before it responds.
	Wait time.Duration
}

// Advise makes an instance call the advice service.
type Advise struct {
	Advisor string
	Step    specifier.StepID
	Servers []specifier.ServerID
	// Incarnations are those of the servers that the call is about.
	Incarnations map[specifier.ServerID]int64
	// ExpectedTime is how long the service should take, and Timeout is how long until the call counts as failed.
	ExpectedTime time.Duration
	Timeout      time.Duration
}

// Resign gives up the ownership of the cell.
type Resign struct {
	Reason string
	// Refused is how many owners in a row, this one included, have resigned because servers refused their connections. It is zero if this
	// one resigns for another reason.
	Refused int
}

// Refuse states the refusals of submissions that are in force from now on, instead of all earlier ones.
type Refuse struct{ Refusals []rater.Refusal }

// RecordSpeeds stores the speeds of servers for the next owner, instead of those stored before.
type RecordSpeeds struct{ Speeds []ServerSpeed }

// ServerSpeed is the speed of an incarnation of a server relative to the average of the shard's servers.
type ServerSpeed struct {
	Server      specifier.ServerID
	Incarnation int64
	Factor      float64
}

// DeleteJobs deletes the keys of jobs whose final state has exceeded its retention.
type DeleteJobs struct{ Jobs []specifier.JobID }

// Decision describes a scheduling decision for the log.
type Decision struct {
	Name   string
	Task   specifier.TaskID
	Run    int
	Server specifier.ServerID
	Detail string
}

func (Commit) command()       {}
func (Start) command()        {}
func (Stop) command()         {}
func (Renew) command()        {}
func (Advise) command()       {}
func (Resign) command()       {}
func (Refuse) command()       {}
func (RecordSpeeds) command() {}
func (DeleteJobs) command()   {}
func (Decision) command()     {}
