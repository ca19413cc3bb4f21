package coordinator

import (
	"context"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/specifier"
)

// BackendServers sends orders to backend servers.
type BackendServers interface {
	Start(ctx context.Context, order conductor.Start) specifier.OrderReply
	Stop(ctx context.Context, order conductor.Stop) specifier.OrderResult
	Renew(ctx context.Context, order conductor.Renew) (specifier.ServerReport, specifier.OrderResult)
}

// Directory reads what operators and backend servers wrote to the store.
type Directory interface {
	// Servers returns the registered backend servers.
	Servers(ctx context.Context) ([]specifier.Server, error)
	follower.Source
}

// Advice is the response of the advice service.
type Advice struct {
	Grants []specifier.Grant
	// ValidUntil is when the tickets expire, on the clock of the instance that called the service.
	ValidUntil time.Time
}

// AdviceService returns which backend servers may run a step.
type AdviceService interface {
	Advise(ctx context.Context, step specifier.StepID, servers []specifier.ServerID) (Advice, error)
}
