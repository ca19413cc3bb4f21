package connector

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/limiter"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
)

const (
	// dialTimeout bounds the opening of a connection, which takes a few milliseconds on the platform's network.
	dialTimeout = 400 * time.Millisecond
	// keptPatience is how long a call waits for a kept connection before it gets one of its own: about as long as opening that takes.
	keptPatience = 4 * time.Millisecond
	// reserveTimeout is how long a call waits while all connections to its server are in use. Calls take a few milliseconds; a server
	// that responds to none for that long gets no further ones.
	reserveTimeout = 200 * time.Millisecond
	// keptIdleTime is how long a kept connection may be idle. A server with runs gets a renewal each second.
	keptIdleTime = 30 * time.Second
	// maxClockError is by how much the clocks of instances and of backend servers may differ.
	maxClockError = time.Minute
)

// ErrBusy is the cause of a call that was not sent because all connections to its server were in use.
var ErrBusy = errors.New("all connections to the backend server are in use")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Call is a call to a backend server.
type Call struct {
	Server specifier.Server
	Class  limiter.Class
	// Borrowed is set if the server belongs to another shard.
	Borrowed bool
}

// Pool holds the connections of one owner to the backend servers during its term.
type Pool struct {
	// limits returns the limits for the servers of a service.
	limits func(service string) limiter.Limits
	// losses are the times at which earlier owners were found lost.
	losses []time.Time
	dial   Dial
	logger *slog.Logger
	meter  *meter.Meter
	// kept sends calls on connections that stay open, and single on connections that the server closes.
	kept, single *http.Transport

	mu      sync.Mutex
	servers map[string]*server
	tally   Tally
}

// server is the state of one address.
type server struct {
	*limiter.Server[*waiter]
	// open is the number of connections that are open or being opened.
	open int
	// refusing is set while the server resets new connections.
	refusing bool
}

// waiter is a call that waits for a connection.
type waiter struct {
	granted chan limiter.Grant
}

// Option configures a Pool.
type Option func(*Pool)

// WithLimits sets a function that returns the limits for the servers of a service.
func WithLimits(limits func(service string) limiter.Limits) Option {
	return func(p *Pool) { p.limits = limits }
}

// WithLosses sets the times at which earlier owners were found lost. Each may have left its kept connections open at the servers
// that were running then.
func WithLosses(losses []time.Time) Option {
	return func(p *Pool) { p.losses = losses }
}

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(p *Pool) { p.logger = logger }
}

// WithMeter sets the registry of metrics.
func WithMeter(m *meter.Meter) Option {
	return func(p *Pool) { p.meter = m }
}

// New returns a pool without connections.
func New(options ...Option) *Pool {
	p := &Pool{
		limits: func(string) limiter.Limits { return limiter.LimitsOf(0) },
		dial:   (&net.Dialer{Timeout: dialTimeout}).DialContext,
		logger: slog.Default(), meter: meter.New(), servers: make(map[string]*server),
	}
	for _, option := range options {
		option(p)
	}
	p.kept = &http.Transport{
		DialContext: p.open, DisableCompression: true, IdleConnTimeout: keptIdleTime,
		MaxConnsPerHost: limiter.KeptConnections, MaxIdleConnsPerHost: limiter.KeptConnections,
	}
	p.single = &http.Transport{DialContext: p.open, DisableCompression: true, DisableKeepAlives: true}
	return p
}

// Reserve reserves a connection for a call, and waits for one while all are in use. The call has to be sent with the returned context,
// and release has to be called when it has ended. The error is ErrBusy if no connection became free in time.
func (p *Pool) Reserve(ctx context.Context, call Call) (reserved context.Context, release func(), err error) {
	w := &waiter{granted: make(chan limiter.Grant, 1)}
	p.mu.Lock()
	s := p.serverOf(call.Server)
	grant, begun := s.Begin(call.Class, call.Borrowed, w)
	p.mu.Unlock()
	if !begun {
		if grant, err = p.await(ctx, s, call.Class, w); err != nil {
			return nil, nil, err
		}
	}
	r := &reservation{pool: p, server: s, id: call.Server.ID, kept: grant.Kept}
	return context.WithValue(ctx, reservationKey{}, r), func() { p.update(s, func() { s.End(grant) }) }, nil
}

// await waits for the grant of a call.
func (p *Pool) await(ctx context.Context, s *server, class limiter.Class, w *waiter) (limiter.Grant, error) {
	if grant, granted := w.wait(ctx, keptPatience); granted {
		return grant, nil
	}
	p.update(s, func() { s.Hurry(class, w) })
	if grant, granted := w.wait(ctx, reserveTimeout); granted {
		return grant, nil
	}
	withdrawn := false
	p.update(s, func() { withdrawn = s.Withdraw(class, w) })
	if !withdrawn {
		return <-w.granted, nil
	}
	p.meter.Count("ServerConnections.Busy", 1)
	return limiter.Grant{}, ErrBusy
}

// update changes the state of a server and permits the calls that may begin now.
func (p *Pool) update(s *server, change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	for {
		next, grant, found := s.Next()
		if !found {
			return
		}
		next.granted <- grant
	}
}

// wait waits for the grant of the call for some time.
func (w *waiter) wait(ctx context.Context, limit time.Duration) (limiter.Grant, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case grant := <-w.granted:
		return grant, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return limiter.Grant{}, false
}

// serverOf returns the state of a server's address.
func (p *Pool) serverOf(described specifier.Server) *server {
	s := p.stateOf(described.Address)
	s.SetLimits(p.limits(described.Service))
	s.SetIncarnation(described.Incarnation, p.leftAt(described))
	return s
}

func (p *Pool) stateOf(address string) *server {
	s := p.servers[address]
	if s == nil {
		s = &server{Server: limiter.NewServer[*waiter](limiter.LimitsOf(0))}
		p.servers[address] = s
	}
	return s
}

// leftAt returns how many connections lost owners may have left open at a server. An incarnation is the Unix millisecond at which it
// started, on the clock of the server; losses are on those of instances.
func (p *Pool) leftAt(described specifier.Server) int {
	left := 0
	for _, lostAt := range p.losses {
		if lostAt.Add(maxClockError).UnixMilli() >= described.Incarnation {
			left += limiter.KeptConnections
		}
	}
	return left
}

// Close closes the connections that are idle now, and all others when their calls end. It logs what was open.
func (p *Pool) Close() {
	p.mu.Lock()
	tally := p.takeTally()
	p.mu.Unlock()
	p.kept.CloseIdleConnections()
	p.single.CloseIdleConnections()
	p.logger.Info("connections to backend servers closed", tally.fields()...)
}
