package planner

import "egretring.example/egretring/describer"

// Command is something that the caller of the core has to do.
type Command interface {
	isCommand()
}

// AssignTasks gives tasks of a job to a zone.
type AssignTasks struct {
	Job   describer.Job
	Zone  describer.AvailabilityZoneID
	First int
	Count int
}

// WithdrawTasks takes tasks of a job from a zone; the zone lets running ones write a checkpoint.
type WithdrawTasks struct {
	Job   describer.JobID
	Zone  describer.AvailabilityZoneID
	First int
	Count int
}

// Reason says why a job cannot run.
type Reason string

// The reasons for which a job can never run as things are.
const (
	// NoServerLargeEnough means that a task fits on no backend server of the allowed zones.
	NoServerLargeEnough Reason = "NoServerLargeEnough"
	// QuotaTooSmall means that the quota of the team is below one task, or below the whole gang job.
	QuotaTooSmall Reason = "QuotaTooSmall"
	// GangTooLarge means that no allowed zone can hold all tasks of the gang job at the same time.
	GangTooLarge Reason = "GangTooLarge"
	// UnknownZone means that none of the allowed zones exists.
	UnknownZone Reason = "UnknownZone"
)

// ReportImpossible reports a job that can never run as things are. It is considered again when zones or quotas change.
type ReportImpossible struct {
	Job    describer.JobID
	Reason Reason
	Detail string
}

// ReportPossible withdraws ReportImpossible.
type ReportPossible struct {
	Job describer.JobID
}

func (AssignTasks) isCommand()      {}
func (WithdrawTasks) isCommand()    {}
func (ReportImpossible) isCommand() {}
func (ReportPossible) isCommand()   {}
