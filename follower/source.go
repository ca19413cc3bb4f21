package follower

import (
	"context"
	"time"

	"egretring.example/egretring/specifier"
)

// Source reads the configuration from the store.
type Source interface {
	// Configuration returns the newest configuration if its revision is higher than the known one.
	Configuration(ctx context.Context, known int64) (Reading, error)
	// AwaitChange waits until the configuration changes after a revision of the store, for at most the given time.
	AwaitChange(ctx context.Context, after int64, wait time.Duration) (Change, error)
}

// Reading is the result of a read of the configuration.
type Reading struct {
	// Newer is nil if there is no configuration with a higher revision than the known one.
	Newer *specifier.Configuration
	// StoreRevision is the store's revision at the time of the read.
	StoreRevision int64
	// Bytes is the size of the configuration in the store.
	Bytes int
	// Outdated is set if the store has only a configuration with a lower revision than the known one.
	Outdated bool
	// DecodeTime is the part of the read that decoding took.
	DecodeTime time.Duration
}

// Change is the result of a wait for a change.
type Change struct {
	// Changed reports whether the configuration has changed, or may have changed unnoticed.
	Changed bool
	// StoreRevision is the store's revision at the end of a wait without a change.
	StoreRevision int64
}
