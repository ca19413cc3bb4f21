package messenger

import (
	"context"
	"crypto/tls"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// link is the connection to one peer. After a failure it reconnects with exponential backoff and jitter.
type link struct {
	address  string
	settings settings

	mu          sync.Mutex
	conn        *jsonrpc2.Conn
	failures    int
	nextAttempt time.Time
}

// connect returns the open connection or opens one, except during a backoff.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && isOpen(l.conn) {
		return l.conn, nil
	}
	if time.Now().Before(l.nextAttempt) {
		return nil, ErrBackoff
	}
	conn, err := l.settings.dial(ctx, l.address)
	if err != nil {
		l.startBackoff()
		return nil, classify(err)
	}
	if l.settings.tls != nil {
		conn = tls.Client(conn, l.settings.tls)
	}
	logger := jsonrpc2.SetLogger(protocolLog{l.settings.logger})
	l.conn = jsonrpc2.NewConn(context.Background(), l.settings.stream(conn), rejectingHandler{}, logger)
	return l.conn, nil
}

// recordSuccess resets the backoff after a response, so that the next failure starts with the shortest wait.
func (l *link) recordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}

// drop closes a connection on which a call received no response, and starts a backoff.
func (l *link) drop(conn *jsonrpc2.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
		l.startBackoff()
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *link) startBackoff() {
	wait := min(firstBackoff<<min(l.failures, 10), lastBackoff)
	l.failures++
	// Half of the wait is fixed and the jitter scales the other half, so that a failing peer is not called at a high
	// rate.
	jittered := wait/2 + time.Duration(l.settings.jitter()*float64(wait/2))
	l.nextAttempt = time.Now().Add(jittered)
}

func isOpen(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func classify(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrapf(ErrRefused, "%v", err)
	}
	return errors.Wrapf(ErrNoResponse, "%v", err)
}

// rejectingHandler rejects requests on connections that this side opened; peers send none on them.
type rejectingHandler struct{}

// Handle implements jsonrpc2.Handler.
func (rejectingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"})
}
