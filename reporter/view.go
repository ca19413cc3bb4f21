package reporter

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/ticketer"
)

// InstanceView is an entry instance as its heartbeats show it.
type InstanceView struct {
	Instance         describer.InstanceID
	AvailabilityZone describer.AvailabilityZoneID
	Incarnation      describer.Incarnation
	OperatorAddress  string
	// Live is false when no heartbeat arrived in time.
	Live          bool
	LastHeard     time.Time
	Epoch         describer.Epoch
	AppliedTicket int64
	// StoreReachable is what the instance itself reports.
	StoreReachable bool
	FreeSlots      int
	Queued         [describer.ClassCount]int
}

// ZoneView is an availability zone.
type ZoneView struct {
	AvailabilityZone describer.AvailabilityZoneID
	// Reporting is false when no member of the zone was heard from in time.
	Reporting     bool
	LastHeard     time.Time
	Epoch         describer.Epoch
	Members       int
	HoldAgreement bool
	Drained       bool
	Servers       int
	Slots         int
	BusySlots     int
}

// ServerView is a backend server.
type ServerView struct {
	BackendServer    describer.BackendServerID
	AvailabilityZone describer.AvailabilityZoneID
	Rack             describer.RackID
	State            describer.ServerState
	Drained          bool
	Ejected          bool
	Slots            int
	BusySlots        int
	Connections      int
	Capacity         describer.Resources
	Used             describer.Resources
	// SampledAt is the time of the usage report that the amounts come from.
	SampledAt time.Time
}

// ServiceLoad is the load of a service in the cell.
type ServiceLoad struct {
	Service    describer.ServiceID
	InProgress int
	Queued     [describer.ClassCount]int
}

// ServiceView is a service and its load.
type ServiceView struct {
	Service describer.Service
	Load    ServiceLoad
}

// JobView is a job and the states of its tasks.
type JobView struct {
	Job              describer.Job
	AvailabilityZone describer.AvailabilityZoneID
	Waiting          int
	Running          int
	Ended            int
	// NeverRuns says why the job can never run; it is empty when it may.
	NeverRuns string
}

// TaskView is one task of a job.
type TaskView struct {
	Task             describer.TaskID
	AvailabilityZone describer.AvailabilityZoneID
	BackendServer    describer.BackendServerID
	// State is the name of the task's state in the package starter.
	State       string
	Attempt     int
	Epoch       describer.Epoch
	Since       time.Time
	LeaseEndsAt time.Time
}

// TeamView is a team and what it uses.
type TeamView struct {
	Team               describer.TeamID
	Quota              describer.Quota
	Used               describer.Resources
	Borrowed           describer.Resources
	RequestsInProgress int
}

// Reason says why something waits, was refused or was moved.
type Reason struct {
	// About names what the reason is about, such as "Job night" or "BackendServer vallarta-12".
	About string
	At    time.Time
	Text  string
	// RetryAt is when it is tried again; zero means unknown.
	RetryAt time.Time
}

// StatusView is the state of the cell as one entry instance sees it.
type StatusView struct {
	Instance      describer.InstanceID
	Configuration distributor.Status
	Instances     []InstanceView
	Zones         []ZoneView
}

// InForceView says where a ticket is in force.
type InForceView struct {
	Number int64
	// InForce is true when every live member of every reporting zone has applied the ticket and each zone reports.
	InForce bool
	Applied int
	Live    int
	// Behind lists the live members that have not applied the ticket.
	Behind []InstanceView
	// SilentZones lists the zones that do not report.
	SilentZones []describer.AvailabilityZoneID
}

// AcceptedView is the answer to an applied ticket.
type AcceptedView struct {
	ID     string
	Number int64
}

// CheckView is the answer to a checked ticket.
type CheckView struct {
	// Applied is the number of the ticket with whose state the ticket was compared.
	Applied int64
	Changes []ticketer.Change
}
