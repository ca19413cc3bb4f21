package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// Event is something that happened to the cell's jobs, quotas or zones.
type Event interface {
	isEvent()
}

// Shape is a number of backend servers with the same capacity.
type Shape struct {
	Capacity describer.Resources
	Count    int
}

// Zone is what the planner knows about an availability zone.
type Zone struct {
	ID     describer.AvailabilityZoneID
	Shapes []Shape
}

// ZonesChanged replaces the known zones.
type ZonesChanged struct {
	Zones []Zone
}

// ZoneLost reports that a zone is lost. Its tasks are moved only from SafeAt on, when none of them can run any more:
// its leases have expired, or an operator has declared its instances dead.
type ZoneLost struct {
	Zone   describer.AvailabilityZoneID
	SafeAt time.Time
}

// ZoneReturned reports that a lost zone is back.
type ZoneReturned struct {
	Zone describer.AvailabilityZoneID
}

// QuotasChanged replaces the quotas. Without any quota no team is limited.
type QuotasChanged struct {
	Quotas []describer.Quota
}

// JobSubmitted adds a job.
type JobSubmitted struct {
	Job describer.Job
}

// JobWithdrawn removes a job.
type JobWithdrawn struct {
	Job describer.JobID
}

// TasksFinished reports tasks that do not run again.
type TasksFinished struct {
	Job     describer.JobID
	Indices []int
}

// Ticked reports that the time given by NextDeadline has come.
type Ticked struct{}

func (ZonesChanged) isEvent()  {}
func (ZoneLost) isEvent()      {}
func (ZoneReturned) isEvent()  {}
func (QuotasChanged) isEvent() {}
func (JobSubmitted) isEvent()  {}
func (JobWithdrawn) isEvent()  {}
func (TasksFinished) isEvent() {}
func (Ticked) isEvent()        {}
