package follower

import (
	"log/slog"

	"egretring.example/egretring/meter"
)

// Option configures a Follower.
type Option func(*Follower)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(f *Follower) { f.logger = logger }
}

// WithMeter sets the registry of metrics.
func WithMeter(m *meter.Meter) Option {
	return func(f *Follower) { f.meter = m }
}
