package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Event is an input of the Conductor.
type Event interface{ event() }

// JobArrived reports an accepted job from the store.
type JobArrived struct {
	Job specifier.Job
	// StoredAfter is a time on the owner's clock at which the job was not in the store yet; zero if none is known.
	StoredAfter time.Time
}

// JobCancelled reports a stored cancellation.
type JobCancelled struct{ Job specifier.JobID }

// CommitEnded reports that the records of the Commit command on a lane are in the store.
type CommitEnded struct {
	Lane int
	// Invalid is set when the store does not accept the write, however often it is repeated.
	Invalid bool
}

// OrderEnded reports the result of a Start or Stop command.
type OrderEnded struct {
	Server      specifier.ServerID
	Incarnation int64
	Task        specifier.TaskID
	Run         int
	Fence       int64
	Stop        bool
	Result      specifier.OrderResult
	// Clock is the server's clock in its response, if HasClock is set.
	Clock    time.Duration
	HasClock bool
}

// RenewEnded reports the result of a Renew command.
type RenewEnded struct {
	Server specifier.ServerID
	// Incarnation is that of the server when the command was sent.
	Incarnation int64
	// Sequence is the sequence number of the command.
	Sequence int
	Fence    int64
	// Acknowledged is that of the command.
	Acknowledged int64
	SentAt       time.Time
	Result       specifier.OrderResult
	Report       specifier.ServerReport
}

// ServersListed reports all registered backend servers of the cell. Transfers are those that were read since the last
// list, or nil if none were read; those of a new owner were read after its election.
type ServersListed struct {
	Servers   []specifier.Server
	Transfers []Transfer
}

// Configured reports the configuration in force.
type Configured struct{ Configuration specifier.Configuration }

// AdvisorsChanged reports all instances that can make advice calls.
type AdvisorsChanged struct{ Advisors []string }

// Advised reports the result of an Advise command.
type Advised struct {
	Step    specifier.StepID
	Advisor string
	// SentAt is when the call began.
	SentAt  time.Time
	Servers []specifier.ServerID
	// Incarnations are those of the command. A result says nothing about later ones.
	Incarnations map[specifier.ServerID]int64
	Grants       []specifier.Grant
	// ValidUntil is when the tickets expire.
	ValidUntil time.Time
	Failed     bool
}

// PredecessorsStopped reports that all earlier owners have stopped renewing leases.
type PredecessorsStopped struct{}

// SpeedsRead reports the speeds that an earlier owner has stored.
type SpeedsRead struct{ Speeds []ServerSpeed }

// JobsDeleted reports the result of a DeleteJobs command.
type JobsDeleted struct {
	Jobs []specifier.JobID
	// Done is false when the keys may still be in the store.
	Done bool
}

func (JobsDeleted) event()         {}
func (SpeedsRead) event()          {}
func (PredecessorsStopped) event() {}
func (JobArrived) event()          {}
func (JobCancelled) event()        {}
func (CommitEnded) event()         {}
func (OrderEnded) event()          {}
func (RenewEnded) event()          {}
func (ServersListed) event()       {}
func (Configured) event()          {}
func (AdvisorsChanged) event()     {}
func (Advised) event()             {}
