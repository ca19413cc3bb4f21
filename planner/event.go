package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// Event is something that happened to the cell's jobs, quotas or zones.
type Event interface {
	isEvent()
}

// ServerGroup is a group of backend servers with the same capacity.
type ServerGroup struct {
	Capacity describer.Resources
	Count    int
}

// Zone describes an availability zone by the capacities of its backend servers.
type Zone struct {
	ID           describer.AvailabilityZoneID
	ServerGroups []ServerGroup
}

// ZonesChanged replaces the known zones.
type ZonesChanged struct {
	Zones []Zone
}

// ZoneUnavailable reports that a zone is lost or drained and gets no more tasks. Its tasks are not moved before SafeAt.
// For a lost zone, SafeAt is the time from which none of them can run any more: its leases have expired, or an operator
// has declared its instances dead. For a drained zone, SafeAt may be the current time if the caller starts moved tasks
// only after the zone has confirmed that they have ended.
type ZoneUnavailable struct {
	Zone   describer.AvailabilityZoneID
	SafeAt time.Time
}

// ZoneAvailable reports that a zone of an earlier ZoneUnavailable may get tasks again.
type ZoneAvailable struct {
	Zone describer.AvailabilityZoneID
}

// QuotasChanged replaces the quotas. Without any quota no team is limited.
type QuotasChanged struct {
	Quotas []describer.Quota
}

// JobSubmitted adds a job. A job of the same name is withdrawn first.
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

func (ZonesChanged) isEvent()    {}
func (ZoneUnavailable) isEvent() {}
func (ZoneAvailable) isEvent()   {}
func (QuotasChanged) isEvent()   {}
func (JobSubmitted) isEvent()    {}
func (JobWithdrawn) isEvent()    {}
func (TasksFinished) isEvent()   {}
func (Ticked) isEvent()          {}
