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
	// defaultMessageBytes admits one ticket of the store's value limit (1 MiB) and its encoding.
	defaultMessageBytes = 4 << 20
	// defaultCallTimeout bounds a call; it is below the two seconds after which a peer counts as not heard of.
	defaultCallTimeout = time.Second
	// defaultIdleTimeout ends a connection on which no message arrived.
	defaultIdleTimeout = 30 * time.Second
	// defaultConnections bounds the connections of a listener and of a client pool.
	defaultConnections = 256
	// firstBackoff and lastBackoff bound the time between two attempts to connect to a peer.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// queuedRequests bounds the requests of one connection that wait for an answer.
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

// WithTLS encrypts the connections.
func WithTLS(config *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}

// WithDial replaces the way in which a client connects.
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

// protocolLog passes the messages of jsonrpc2 on to the logger.
type protocolLog struct {
	logger *slog.Logger
}

// Printf implements jsonrpc2.Logger.
func (l protocolLog) Printf(format string, values ...any) {
	l.logger.Debug("peer connection", "Detail", sprintf(format, values...))
}
