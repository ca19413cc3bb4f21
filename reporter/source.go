package reporter

import (
	"context"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/ticketer"
)

// Configuration accepts tickets and provides the state in force; it is implemented by distributor.Distributor.
type Configuration interface {
	Accept(ctx context.Context, ticket ticketer.Ticket) (int64, error)
	Check(ticket ticketer.Ticket) error
	State() (ticketer.State, error)
	Recent() []ticketer.AcceptedTicket
	Status() distributor.Status
}

// InstanceSource supplies the entry instances of the cell, including this one.
type InstanceSource interface {
	Instances(ctx context.Context) ([]InstanceView, error)
}

// ZoneSource supplies the configured availability zones, including those that do not report.
type ZoneSource interface {
	Zones(ctx context.Context) ([]ZoneView, error)
}

// ServerSource supplies the backend servers.
type ServerSource interface {
	Servers(ctx context.Context) ([]ServerView, error)
}

// ServiceSource supplies the loads of the services.
type ServiceSource interface {
	ServiceLoads(ctx context.Context) ([]ServiceLoad, error)
}

// JobSource supplies the jobs.
type JobSource interface {
	Jobs(ctx context.Context) ([]JobView, error)
}

// TaskSource supplies the tasks of jobs; a query with a job needs only the tasks of that job.
type TaskSource interface {
	Tasks(ctx context.Context, query TaskQuery) ([]TaskView, error)
}

// TeamSource supplies the teams and their usage.
type TeamSource interface {
	Teams(ctx context.Context) ([]TeamView, error)
}

// ReasonSource explains the state of a job, a task ("job/index"), a service, a backend server, an instance or a
// request.
type ReasonSource interface {
	// Reasons returns the reasons for the object with the given name, or none when the source does not know it.
	Reasons(ctx context.Context, object string) ([]Reason, error)
}

// TicketQuery selects tickets.
type TicketQuery struct {
	// After selects tickets with a higher number.
	After int64
	// Limit bounds the number of tickets; the latest ones are selected. Zero selects all that the instance still has.
	Limit int
}

// ServerQuery selects backend servers; empty fields select all.
type ServerQuery struct {
	AvailabilityZone describer.AvailabilityZoneID
	State            describer.ServerState
}

// JobQuery selects jobs; empty fields select all.
type JobQuery struct {
	Team             describer.TeamID
	AvailabilityZone describer.AvailabilityZoneID
	Policy           describer.JobPolicy
}

// TaskQuery selects tasks; empty fields select all.
type TaskQuery struct {
	Job              describer.JobID
	AvailabilityZone describer.AvailabilityZoneID
	BackendServer    describer.BackendServerID
	State            string
}
