package matcher

import (
	"time"

	"egretring.example/egretring/calibrator"
)

// Preference is the order in which a step names servers in advice calls and is placed on them.
type Preference int8

// The preferences of steps.
const (
	// None treats all servers alike.
	None Preference = iota
	// SlowFirst leaves fast servers to the steps that need them, as long as slow ones suffice.
	SlowFirst
	// FastFirst is for steps that would be late on slow servers.
	FastFirst
	// ReservedFirst is for urgent steps: the servers that are kept for them come before other fast ones, which others can use.
	ReservedFirst
)

// gangDoubt is the factor by which the work of nine of ten gangs is at most larger or smaller than estimated, if the standard deviation of
// the logarithm is 0.7 (the users state 0.5 to 0.9).
const gangDoubt = 2.45

// Step is what the preference of a step depends on.
type Step struct {
	// Urgent steps have priority 0.
	Urgent bool
	// Estimate is the estimated run time, and Correction the factor by which runs of the queue exceed it at the average speed.
	Estimate   time.Duration
	Correction float64
	// Slack is the time until the step has to start for its job to meet its objective if the estimate is correct.
	Slack time.Duration
	// Gang is set for steps whose tasks run at the same time, and Spare while enough capacity of fast servers is free for these to take it.
	Gang, Spare bool
}

// Speeds are the mean speeds of slow and fast servers relative to the average.
type Speeds struct{ Slow, Fast float64 }

// Prefer returns the preference of a step while speeds take effect. A step that is not urgent goes to slow servers if its job meets its
// objective there, or does not even on fast ones. A gang has to do so for nine of ten errors of its estimate, because it has less slack than
// other steps: it takes as long as its slowest member. It goes to fast servers only while urgent steps have capacity to spare there.
func Prefer(step Step, speeds Speeds) Preference {
	doubt := 1.0
	if step.Gang {
		doubt = gangDoubt
	}
	switch {
	case step.Urgent:
		return ReservedFirst
	case step.Gang && !step.Spare:
		return SlowFirst
	case step.delayAt(speeds.Slow/doubt) > step.Slack && step.delayAt(speeds.Fast*doubt) <= step.Slack:
		return FastFirst
	default:
		return SlowFirst
	}
}

// delayAt returns by how much the run time at a speed exceeds the estimate.
func (s Step) delayAt(speed float64) time.Duration {
	return time.Duration(float64(s.Estimate) * (s.Correction/speed - 1))
}

// Rank returns the place of a server in the order of the preference; lower ranks come first.
func (p Preference) Rank(class calibrator.Class, reserved bool) int {
	return ranks[p][column(class, reserved)]
}

func column(class calibrator.Class, reserved bool) int {
	if reserved {
		return reservedColumn
	}
	return int(class)
}

// reservedColumn follows the columns of the classes in ranks.
const reservedColumn = 3

// ranks has the ranks of servers of unknown speed, slow, fast and reserved ones.
var ranks = [...][4]int{
	None:          {0, 0, 0, 0},
	SlowFirst:     {1, 0, 2, 3},
	FastFirst:     {1, 2, 0, 3},
	ReservedFirst: {2, 3, 1, 0},
}
