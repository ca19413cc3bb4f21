package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/timekeeper"
)

// Handler handles the calls of peers. Heartbeat and Release must return without blocking, because the next message of
// the same connection is read only after they return.
type Handler interface {
	Heartbeat(ctx context.Context, heartbeat Heartbeat) (HeartbeatReply, error)
	Release(ctx context.Context, release Release) (ReleaseReply, error)
	Tickets(ctx context.Context, request TicketsRequest) (TicketsReply, error)
	Report(ctx context.Context, request ReportRequest) (ReportReply, error)
}

// acceptRetryInterval is the pause after a connection could not be accepted.
const acceptRetryInterval = 50 * time.Millisecond

// Listener accepts the connections of peers.
type Listener struct {
	settings settings
	handler  Handler
	listener net.Listener
	tomb     tomb.Tomb
	ctx      context.Context

	mu          sync.Mutex
	connections int
}

// Listen opens a TCP address and serves peers on it.
func Listen(address string, handler Handler, options ...Option) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	return Serve(listener, handler, options...), nil
}

// Serve serves peers on an open listener.
func Serve(listener net.Listener, handler Handler, options ...Option) *Listener {
	l := &Listener{settings: newSettings(options), handler: handler, listener: listener}
	l.ctx = l.tomb.Context(context.Background())
	l.tomb.Go(l.run)
	l.tomb.Go(func() error {
		<-l.tomb.Dying()
		return errors.Wrap(l.listener.Close(), "close peer listener")
	})
	return l
}

// Address returns the address on which peers are served.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Close closes the listener and its connections.
func (l *Listener) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

func (l *Listener) run() error {
	for {
		conn, err := l.listener.Accept()
		if !l.tomb.Alive() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept peer connection")
		}
		if err != nil {
			// The process may be out of descriptors for a moment.
			l.settings.logger.Warn("peer connection cannot be accepted", "Error", err.Error())
			timekeeper.Sleep(l.ctx, acceptRetryInterval)
			continue
		}
		if !l.admit() {
			l.settings.logger.Warn("too many peer connections; closing a new one", "Peer", conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		l.tomb.Go(func() error {
			l.serve(conn)
			return nil
		})
	}
}

func (l *Listener) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections >= l.settings.connections {
		return false
	}
	l.connections++
	return true
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections--
}

// serve handles the requests of one connection until it is closed.
func (l *Listener) serve(conn net.Conn) {
	defer l.release()
	if l.settings.tls != nil {
		conn = tls.Server(conn, l.settings.tls)
	}
	logger := jsonrpc2.SetLogger(protocolLog{l.settings.logger})
	if l.settings.methods != nil {
		peer := jsonrpc2.NewConn(l.ctx, l.settings.stream(conn), newConcurrent(l.settings.methods), logger)
		<-peer.DisconnectNotify()
		return
	}
	requests := newRequests(l.handler)
	peer := jsonrpc2.NewConn(l.ctx, l.settings.stream(conn), requests, logger)
	requests.run(l.ctx, peer)
}
