package specifier

import "time"

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the submitter's rough estimate of the run time of a task.
	Estimate time.Duration `json:",omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After         []int `json:",omitempty"`
	Gang          bool  `json:",omitempty"`
	SameRack      bool  `json:",omitempty"`
	Checkpointing bool  `json:",omitempty"`
	// AllowDuplicates permits copies of a task to run at the same time.
	AllowDuplicates bool `json:",omitempty"`
	LongRunning     bool `json:",omitempty"`
	// RequiredLabel is a label that the backend server must have.
	RequiredLabel string `json:",omitempty"`
	// PreferredRack is the rack of the step's data.
	PreferredRack string `json:",omitempty"`
	// MaxPerServer bounds the step's tasks on one backend server; zero means no bound.
	MaxPerServer int    `json:",omitempty"`
	Image        string `json:",omitempty"`
	// TargetLatency is the tail latency that serving tasks of the step must stay below.
	TargetLatency time.Duration `json:",omitempty"`
	// Fills is set for tasks that only use processor time that other tasks leave idle.
	Fills bool `json:",omitempty"`
	// MaxUnavailable bounds the tasks that the scheduler may make unavailable at the same time.
	MaxUnavailable int `json:",omitempty"`
}

// Occupies returns the resources that a task of the step takes from the capacity of a backend server. Tasks with Fills
// take no cores.
func (s Step) Occupies() Resources {
	need := s.Need
	if s.Fills {
		need.MilliCores = 0
	}
	return need
}

// Job is a job that a caller submitted.
type Job struct {
	ID JobID
	// Team is the name of the team that submitted the job; empty in a deployment without teams.
	Team string `json:",omitempty"`
	// Queue is the queue at the time of submission.
	Queue Queue
	// Spec is passed on to the tasks unchanged.
	Spec  string
	Steps []Step
	// AcceptedAt is a time on the clock of the instance that accepted the job. Other instances compare it with their own clocks
	// only within the bounds that they know for it.
	AcceptedAt time.Time
	// Occurrences is the number of times that the steps run on a schedule; zero means once and immediately. The first
	// occurrence is due at First, and each later one an Interval after the one before.
	Occurrences int           `json:",omitempty"`
	First       time.Time     `json:",omitzero"`
	Interval    time.Duration `json:",omitempty"`
}

// latestDue bounds the time from the first occurrence to a later one, so that it does not overflow.
const latestDue = 250 * 365 * 24 * time.Hour

// OccurrenceCount returns how many times the steps run.
func (j Job) OccurrenceCount() int {
	return max(j.Occurrences, 1)
}

// Scheduled reports whether the steps run on a schedule. Without one they may start immediately.
func (j Job) Scheduled() bool {
	return j.Occurrences > 0
}

// DueAt returns when an occurrence is due: on the schedule, or when the job was accepted.
func (j Job) DueAt(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.AcceptedAt
	}
	if j.Interval > 0 && occurrence > int(latestDue/j.Interval) {
		return j.First.Add(latestDue)
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// WithAcceptedAt returns the job with another time of acceptance.
func (j Job) WithAcceptedAt(at time.Time) Job {
	j.AcceptedAt = at
	return j
}

// JobState is the state of a job as callers see it.
type JobState int

// The states of a job.
const (
	Queued JobState = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state is final.
func (s JobState) Final() bool {
	return s >= Completed
}
