package sharder

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/specifier"
)

// configurationAge is how old a configuration may be that the shards of an instance share; they read it every 600 ms.
const configurationAge = 400 * time.Millisecond

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
	askedAt := time.Now()
	if d.found && askedAt.Sub(d.readAt) < configurationAge {
		return d.configuration, true, nil
	}
	configuration, found, err := d.Directory.Configuration(ctx)
	if err != nil {
		return specifier.Configuration{}, false, err
	}
	d.configuration, d.found, d.readAt = configuration, found, askedAt
	return configuration, found, nil
}

// shardDirectory shows only the backend servers of a shard.
type shardDirectory struct {
	coordinator.Directory
	shard Shard
}

// Servers implements coordinator.Directory.
func (d shardDirectory) Servers(ctx context.Context) ([]specifier.Server, error) {
	all, err := d.Directory.Servers(ctx)
	own := make([]specifier.Server, 0, len(all)/d.shard.Count+1)
	for _, server := range all {
		if d.shard.HasServer(server) {
			own = append(own, server)
		}
	}
	return own, err
}
