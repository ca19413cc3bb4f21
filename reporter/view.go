package reporter

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/ticketer"
)

// InstanceView is the state of an entry instance from its own report or, when it does not respond, from its newest
// heartbeat.
type InstanceView struct {
	Instance         describer.InstanceID
	AvailabilityZone describer.AvailabilityZoneID
	Incarnation      describer.Incarnation
	OperatorAddress  string
	// Live is false when the instance does not respond and sent no recent heartbeat.
	Live          bool
	LastHeard     time.Time
	Epoch         describer.Epoch
	AppliedTicket int64
	// StoreReachable is true when the instance itself reports that it reaches the store.
	StoreReachable bool
	FreeSlots      int
	Queued         [describer.ClassCount]int
}

// ZoneView is the state of an availability zone.
type ZoneView struct {
	AvailabilityZone describer.AvailabilityZoneID
	// Reporting is false when no instance of the zone responds and none sent a recent heartbeat.
	Reporting bool
	LastHeard time.Time
	Epoch     describer.Epoch
	Members   int
	// HoldAgreement is true when a member of the zone relies on a concluded hold agreement, by which the members of an
	// epoch may go on starting work while the store is unreachable for all of them.
	HoldAgreement bool
	Drained       bool
	Servers       int
	Slots         int
	BusySlots     int
}

// ServerView is the state of a backend server.
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
	// SampledAt is the time of the last report of an entry instance that the amounts come from; it is zero without one.
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
	// NeverRuns says why the job can never run; it is empty when the job can run.
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

// TeamView is a team, its quota and its usage.
type TeamView struct {
	Team               describer.TeamID
	Quota              describer.Quota
	Used               describer.Resources
	Borrowed           describer.Resources
	RequestsInProgress int
}

// Reason explains why a request, a task or another object waits, was refused or was moved.
type Reason struct {
	// About names the object that the reason explains, such as "Job night" or "BackendServer vallarta-12".
	About string
	At    time.Time
	Text  string
	// RetryAt is the time of the next attempt; zero means unknown.
	RetryAt time.Time
}

// StatusView is the state of the cell as one entry instance reports it.
type StatusView struct {
	Instance      describer.InstanceID
	Configuration distributor.Status
	Instances     []InstanceView
	Zones         []ZoneView
}

// InForceView shows where a ticket is in force.
type InForceView struct {
	Number int64
	// InForce is true when every zone reports and every live instance has applied the ticket.
	InForce bool
	Applied int
	Live    int
	// Behind lists the live instances that have not applied the ticket.
	Behind []InstanceView
	// SilentZones lists the zones that do not report.
	SilentZones []describer.AvailabilityZoneID
}

// AcceptedView is the response to a request to apply a ticket.
type AcceptedView struct {
	ID     string
	Number int64
}

// CheckView is the response to a request to check a ticket.
type CheckView struct {
	// Applied is the number of the last ticket in the configuration with which the checked ticket was compared.
	Applied int64
	Changes []ticketer.Change
}
