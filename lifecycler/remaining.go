package lifecycler

import "egretring.example/egretring/specifier"

// Remaining are the runs of a finished job that still exist, as while they are being stopped. An owner that takes over counts them for
// the team of the job until the servers report otherwise.
type Remaining struct {
	Team string
	Runs []RemainingRuns `json:",omitempty"`
}

// RemainingRuns are runs of a step on one server with the same number.
type RemainingRuns struct {
	Server     specifier.ServerID
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	Run        int
	Need       specifier.Resources
	Tasks      []int
}

// Remaining returns the runs that the record of a finished job named.
func (j *Job) Remaining() *Remaining {
	return j.remaining
}
