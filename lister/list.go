// Package lister reads the platform's instance list.
package lister

import (
	"context"

	"egretring.example/egretring/describer"
)

// List is the platform's list of live and leaving backend servers and entry instances. It lags behind the actual state.
type List interface {
	// BackendServers returns the backend servers that the list holds.
	BackendServers(ctx context.Context) ([]describer.BackendServer, error)
	// Instances returns the entry instances that the list holds.
	Instances(ctx context.Context) ([]describer.Instance, error)
}
