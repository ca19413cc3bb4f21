package gatekeeper

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/meter"
)

// retryAfter is the time after which a refused caller may retry.
const retryAfter = time.Second

// Gate stands between a listener and its HTTP server.
type Gate struct {
	limits   Limits
	reporter *reporter

	mu     sync.Mutex
	ledger *Ledger
}

// New returns a gate with limits. The name of the listener is in its log lines and metrics.
func New(name string, limits Limits, logger *slog.Logger, m *meter.Meter) *Gate {
	return &Gate{limits: limits, ledger: NewLedger(limits), reporter: newReporter(name, logger, m)}
}

// Listen listens on a TCP address. Accepted connections inherit the size of the receive buffer.
func (g *Gate) Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	if size := g.limits.ReceiveBuffer; size > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return setReceiveBuffer(raw, size)
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}

func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return failed
}

// Guard makes a server count its connections and requests with the gate, and returns the listener that it has to serve.
func (g *Gate) Guard(server *http.Server, accept net.Listener) net.Listener {
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if c, ok := accepted.(*connection); ok && state == http.StateIdle {
			g.answered(c)
		}
	}
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, accepted)
	}
	server.Handler = g.handler(server.Handler)
	return &listener{Listener: accept, gate: g}
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			g.headerComplete(c, r)
		}
		next.ServeHTTP(w, r)
	})
}

// headerComplete begins the body of a request, or marks the request as complete if it has none.
func (g *Gate) headerComplete(c *connection, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		g.serve(c)
		return
	}
	c.beginBody()
	r.Body = &body{ReadCloser: r.Body, connection: c}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

func (g *Gate) open(accepted net.Conn) *connection {
	c := &connection{Conn: accepted, gate: g}
	g.mu.Lock()
	account, closed := g.ledger.Open(c)
	c.account = account
	used, open := g.ledger.Used()
	g.mu.Unlock()
	for _, victim := range closed {
		owner := victim.Owner.(*connection)
		owner.interrupt()
		// The descriptor has to be free before the new connection is used.
		_ = owner.Conn.Close()
		g.reporter.closed(causeConnections, owner.RemoteAddr(), used, open)
	}
	if account == nil {
		g.reporter.closed(causeConnections, accepted.RemoteAddr(), used, open)
		return nil
	}
	return c
}

// charge counts bytes for the request of a connection, and closes what the ledger names. Its error is Overloaded.
func (g *Gate) charge(c *connection, bytes int64) error {
	g.mu.Lock()
	closed, fits := g.ledger.Charge(c.account, bytes)
	used, open := g.ledger.Used()
	g.mu.Unlock()
	for _, victim := range closed {
		victim.Owner.(*connection).interrupt()
		g.reporter.closed(causeMemory, victim.Owner.(*connection).RemoteAddr(), used, open)
	}
	if fits {
		return nil
	}
	g.reporter.closed(causeMemory, c.RemoteAddr(), used, open)
	return errOverloaded()
}

func errOverloaded() error {
	return classifier.New(classifier.Overloaded, "memory for callers is used up; the request was not accepted").
		WithRetryAt(time.Now().Add(retryAfter))
}

func (g *Gate) serve(c *connection) {
	c.endBody()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Serve(c.account)
}

func (g *Gate) answered(c *connection) {
	c.beginHeader()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Answered(c.account)
}

func (g *Gate) close(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(c.account)
}

// isOverloaded reports whether an error says that the memory for callers is used up.
func isOverloaded(err error) bool {
	return errors.Is(err, errInterrupted) || classifier.IsErrKind(err, classifier.Overloaded)
}
