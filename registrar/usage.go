package registrar

import (
	"context"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// runUsage reads the usage of the backend servers with quarantined slots every usageInterval.
func (r *Registrar) runUsage(ctx context.Context) error {
	if r.hooks.usage == nil {
		return nil
	}
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for _, server := range r.quarantinedServers() {
			report, err := r.hooks.usage(ctx, server)
			if err != nil {
				r.hooks.logger.Info("usage not read", "BackendServer", server.ID, "Error", err.Error())
				continue
			}
			r.post(ctx, report)
		}
	}
}

func (r *Registrar) quarantinedServers() []describer.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.servers), func(server describer.BackendServer) bool {
		return !slices.Contains(r.quarantined, server.ID)
	})
}
