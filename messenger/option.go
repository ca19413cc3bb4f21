package messenger

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// defaultMessageBytes allows for one ticket of the store's maximum value size (1 MiB) and the overhead of its
	// encoding.
	defaultMessageBytes = 4 << 20
	// defaultCallTimeout bounds a call; it is below the two seconds (assigner.PeerTimeout) after which the last
	// heartbeat of a peer no longer counts as recent.
	defaultCallTimeout = time.Second
	// defaultIdleTimeout is how long a connection may receive no data before it is closed.
	defaultIdleTimeout = 30 * time.Second
	// defaultConnections bounds the connections of a listener and of a client pool.
	defaultConnections = 256
	// firstBackoff and lastBackoff bound the time between two attempts to connect to a peer.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// queuedRequests bounds the queued requests for tickets and reports of one connection.
	queuedRequests = 16
)

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, address string) (net.Conn, error)

type settings struct {
	messageBytes int
	connections  int
	callTimeout  time.Duration
	idleTimeout  time.Duration
	tls          *tls.Config
	dial         Dial
	jitter       func() float64
	logger       *slog.Logger
	methods      Methods
}

// Option configures a Listener or a Client.
type Option func(*settings)

// WithMessageBytes limits the size of a message.
func WithMessageBytes(limit int) Option {
	return func(s *settings) { s.messageBytes = limit }
}

// WithConnections limits the number of connections.
func WithConnections(limit int) Option {
	return func(s *settings) { s.connections = limit }
}

// WithCallTimeout limits the time of a call.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.callTimeout = timeout }
}

// WithTLS encrypts the connections with TLS.
func WithTLS(config *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}

// WithDial replaces the function with which a client connects.
func WithDial(dial Dial) Option {
	return func(s *settings) { s.dial = dial }
}

// WithJitter replaces the source of the jitter of the backoff, a number from 0 to 1.
func WithJitter(jitter func() float64) Option {
	return func(s *settings) { s.jitter = jitter }
}

// WithLogger replaces the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(s *settings) { s.logger = logger }
}

func withMethods(methods Methods) Option {
	return func(s *settings) { s.methods = methods }
}

func newSettings(options []Option) settings {
	dialer := &net.Dialer{}
	s := settings{
		messageBytes: defaultMessageBytes,
		connections:  defaultConnections,
		callTimeout:  defaultCallTimeout,
		idleTimeout:  defaultIdleTimeout,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		jitter: rand.Float64,
		logger: slog.Default(),
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// protocolLog forwards the log messages of jsonrpc2 to the logger.
type protocolLog struct {
	logger *slog.Logger
}

// Printf implements jsonrpc2.Logger.
func (l protocolLog) Printf(format string, values ...any) {
	l.logger.Debug("peer connection", "Detail", sprintf(format, values...))
}
