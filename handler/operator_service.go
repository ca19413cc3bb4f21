package handler

import (
	"context"

	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

// OperatorService serves the calls of the operators' API; it is implemented by reporter.Reporter.
type OperatorService interface {
	Apply(ctx context.Context, ticket ticketer.Ticket) (reporter.AcceptedView, error)
	Check(ctx context.Context, ticket ticketer.Ticket) (reporter.CheckView, error)
	Diff(ctx context.Context, ticket ticketer.Ticket) (reporter.CheckView, error)
	Tickets(ctx context.Context, query reporter.TicketQuery) ([]ticketer.AcceptedTicket, error)
	Ticket(ctx context.Context, number int64) (ticketer.AcceptedTicket, error)
	InForce(ctx context.Context, number int64) (reporter.InForceView, error)
	Status(ctx context.Context) (reporter.StatusView, error)
	Services(ctx context.Context) ([]reporter.ServiceView, error)
	Jobs(ctx context.Context, query reporter.JobQuery) ([]reporter.JobView, error)
	Tasks(ctx context.Context, query reporter.TaskQuery) ([]reporter.TaskView, error)
	Servers(ctx context.Context, query reporter.ServerQuery) ([]reporter.ServerView, error)
	Zones(ctx context.Context) ([]reporter.ZoneView, error)
	Teams(ctx context.Context) ([]reporter.TeamView, error)
	Why(ctx context.Context, object string) ([]reporter.Reason, error)
}
