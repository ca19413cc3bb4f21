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

// WithInstance sets the entry instance that is recorded as the accepting one in the tickets.
func WithInstance(id describer.InstanceID) Option {
	return func(o *options) { o.instance = id }
}

// WithPeers sets the function that returns the peers from which tickets can currently be fetched.
func WithPeers(peers func() []PeerSource) Option {
	return func(o *options) { o.peers = peers }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithNonces sets the function that generates WriteIDs. It must never return the same WriteID twice in a cell.
func WithNonces(nonce func() string) Option {
	return func(o *options) { o.nonce = nonce }
}

// WithSeed sets the seed of the jitter of delays.
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
