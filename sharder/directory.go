package sharder

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/specifier"
)

// maxConfigurationAge is the maximum age of the configuration that the shards of an instance share; each reads it every
// 600 ms.
const maxConfigurationAge = 400 * time.Millisecond

// sharedDirectory reads the configuration once for all shards of an instance.
type sharedDirectory struct {
	coordinator.Directory

	mu            sync.Mutex
	readAt        time.Time
	configuration specifier.Configuration
	found         bool
}

var _ coordinator.Directory = (*sharedDirectory)(nil)

// Configuration implements coordinator.Directory.
func (d *sharedDirectory) Configuration(ctx context.Context) (specifier.Configuration, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	requestedAt := time.Now()
	if d.found && requestedAt.Sub(d.readAt) < maxConfigurationAge {
		return d.configuration, true, nil
	}
	configuration, found, err := d.Directory.Configuration(ctx)
	if err != nil {
		return specifier.Configuration{}, false, err
	}
	d.configuration, d.found, d.readAt = configuration, found, requestedAt
	return configuration, found, nil
}

// shardDirectory returns only the backend servers of a shard.
type shardDirectory struct {
	coordinator.Directory
	shard Shard
}

// Servers implements coordinator.Directory.
func (d shardDirectory) Servers(ctx context.Context) ([]specifier.Server, error) {
	all, err := d.Directory.Servers(ctx)
	assigned := make([]specifier.Server, 0, len(all)/d.shard.Count+1)
	for _, server := range all {
		if d.shard.HasServer(server) {
			assigned = append(assigned, server)
		}
	}
	return assigned, err
}
