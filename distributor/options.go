package distributor

import (
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"

	"egretring.example/egretring/describer"
)

type options struct {
	instance  describer.InstanceID
	peers     func() []PeerSource
	log       *slog.Logger
	nonce     func() string
	seed      uint64
	retention retention
}

// Option is an option of New.
type Option func(*options)

// WithInstance names the entry instance in the tickets that it accepts.
func WithInstance(id describer.InstanceID) Option {
	return func(o *options) { o.instance = id }
}

// WithPeers sets the function that returns the peers that can be asked now.
func WithPeers(peers func() []PeerSource) Option {
	return func(o *options) { o.peers = peers }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithNonces sets the source of WriteIDs, which must never repeat in a cell.
func WithNonces(nonce func() string) Option {
	return func(o *options) { o.nonce = nonce }
}

// WithSeed seeds the jitter of delays.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

func newOptions(list []Option) *options {
	o := &options{
		peers:     func() []PeerSource { return nil },
		log:       slog.New(slog.DiscardHandler),
		nonce:     rand.Text,
		seed:      mathrand.Uint64(),
		retention: defaultRetention,
	}
	for _, option := range list {
		option(o)
	}
	return o
}

// random returns a source of jitter for one goroutine.
func (o *options) random(stream uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(o.seed, stream))
}
