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

// WithPeer sets the peer from which configurations are read that a watch has announced, so that the link of the store does not
// carry a large configuration to every instance.
func WithPeer(peer Peer) Option {
	return func(f *Follower) { f.peer = peer }
}

// WithMeter sets the registry of metrics.
func WithMeter(m *meter.Meter) Option {
	return func(f *Follower) { f.meter = m }
}
