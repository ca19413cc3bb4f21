package planner

import "egretring.example/egretring/describer"

// Command is an action that the caller of the planner has to carry out.
type Command interface {
	isCommand()
}

// AssignTasks assigns tasks of a job to a zone.
type AssignTasks struct {
	Job   describer.Job
	Zone  describer.AvailabilityZoneID
	First int
	Count int
}

// WithdrawTasks withdraws tasks of a job from a zone. The zone lets running ones write a checkpoint before they end.
type WithdrawTasks struct {
	Job   describer.JobID
	Zone  describer.AvailabilityZoneID
	First int
	Count int
}

// Reason is the reason why a job can never run.
type Reason string

// The reasons why a job can never run with the current zones and quotas.
const (
	// NoServerLargeEnough means that a task does not fit on any backend server of the allowed zones.
	NoServerLargeEnough Reason = "NoServerLargeEnough"
	// QuotaTooSmall means that the team has no quota, or that the quota that it may use is smaller than one task or
	// than the whole gang job.
	QuotaTooSmall Reason = "QuotaTooSmall"
	// GangTooLarge means that no allowed zone can hold all tasks of the gang job at the same time.
	GangTooLarge Reason = "GangTooLarge"
	// UnknownZone means that none of the allowed zones exists.
	UnknownZone Reason = "UnknownZone"
)

// ReportImpossible reports a job that can never run with the current zones and quotas. It is evaluated again when they
// change.
type ReportImpossible struct {
	Job    describer.JobID
	Reason Reason
	Detail string
}

// ReportPossible reports that a job of an earlier ReportImpossible can run now.
type ReportPossible struct {
	Job describer.JobID
}

func (AssignTasks) isCommand()      {}
func (WithdrawTasks) isCommand()    {}
func (ReportImpossible) isCommand() {}
func (ReportPossible) isCommand()   {}
