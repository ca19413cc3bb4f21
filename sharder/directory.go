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
