package describer

import "fmt"

// JobID names a job: the tasks of a service, a batch job or a gang job.
type JobID string

// JobPolicy says how the tasks of a job are placed.
type JobPolicy string

// The job policies.
const (
	// ServiceJob keeps its tasks running, spread over racks and availability zones.
	ServiceJob JobPolicy = "Service"
	// BatchJob runs each task once to completion and packs the tasks tightly.
	BatchJob JobPolicy = "Batch"
	// GangJob starts all its tasks together or none.
	GangJob JobPolicy = "Gang"
)

// Job is the declared state of a job.
type Job struct {
	ID     JobID
	Team   TeamID
	Class  Class
	Policy JobPolicy
	// Tasks is the number of tasks.
	Tasks int
	// PerTask is the declared resource demand of a task.
	PerTask Resources
	// ExpectedSeconds is the declared run time of a task; zero means unknown or unlimited.
	ExpectedSeconds int64
	// AvailabilityZones restricts the job to these zones; empty means any.
	AvailabilityZones []AvailabilityZoneID
	// MaxAttempts is the number of failures after which a task is given up; zero means the default. Failures that are
	// attributed to the backend server, and those before an attempt that ran for ten minutes, are not counted.
	MaxAttempts int
}

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the task as job and index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

// Quota bounds the resources that the jobs of a team may use together.
type Quota struct {
	Team  TeamID
	Limit Resources
	// MayBorrow allows the team to use the capacity that other teams leave idle, until they reclaim it.
	MayBorrow bool
}
