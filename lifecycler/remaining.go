package lifecycler

import (
	"cmp"
	"slices"

	"egretring.example/egretring/specifier"
)

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

// RemainingRun is a run of a finished job.
type RemainingRun struct {
	Server specifier.ServerID
	Task   specifier.TaskID
	Run    int
	Need   specifier.Resources
}

func (r RemainingRun) compare(other RemainingRun) int {
	return cmp.Or(
		cmp.Compare(r.Server, other.Server), cmp.Compare(r.Task.Occurrence, other.Task.Occurrence), cmp.Compare(r.Task.Step, other.Task.Step),
		cmp.Compare(r.Run, other.Run), cmp.Compare(r.Task.Index, other.Task.Index),
	)
}

// NewRemaining returns the runs of a finished job in the form of its record, or nil if there are none. It sorts the runs.
func NewRemaining(team string, runs []RemainingRun) *Remaining {
	if len(runs) == 0 {
		return nil
	}
	slices.SortFunc(runs, RemainingRun.compare)
	remaining := &Remaining{Team: team}
	for i, r := range runs {
		if before := runs[max(i-1, 0)]; i == 0 || before.Server != r.Server || before.Task.StepID != r.Task.StepID || before.Run != r.Run {
			remaining.Runs = append(remaining.Runs, RemainingRuns{
				Server: r.Server, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Run: r.Run, Need: r.Need,
			})
		}
		last := &remaining.Runs[len(remaining.Runs)-1]
		last.Tasks = append(last.Tasks, r.Task.Index)
	}
	return remaining
}
