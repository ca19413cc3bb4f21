package server

import (
	"cmp"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// backlogQuiet is the time without a new connection after which a draining listener closes. It covers handshakes
	// that callers consider complete while their last packet is still on its way.
	backlogQuiet = 50 * time.Millisecond
	// backlogTimeout bounds how long a draining listener accepts connections that keep coming.
	backlogTimeout = 2 * time.Second
)

// backlogListener is a listener that can accept the connections in its backlog before it closes. The operating system
// resets those that are left when it closes.
type backlogListener struct {
	*net.TCPListener
	draining atomic.Bool
	// closeBy is when a draining listener stops waiting for further connections. It is set before draining.
	closeBy time.Time
	// drained is closed when Accept has returned the whole backlog.
	drained chan struct{}
	// ended guards drained.
	ended sync.Once
	// closed guards the listener, because http.Server closes it as well.
	closed sync.Once
}

func newBacklogListener(inner *net.TCPListener) *backlogListener {
	return &backlogListener{TCPListener: inner, drained: make(chan struct{})}
}

// drain closes the listener when Accept has returned the connections in the backlog, or when the context ends.
func (l *backlogListener) drain(ctx context.Context) {
	l.closeBy = time.Now().Add(backlogTimeout)
	l.draining.Store(true)
	if err := l.awaitNext(); err != nil {
		return
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
		_ = l.Close()
	}
}

// Close implements net.Listener. Only its first call has an effect.
func (l *backlogListener) Close() error {
	var err error
	l.closed.Do(func() { err = l.TCPListener.Close() })
	return err
}

// awaitNext makes Accept wait for at most backlogQuiet, and not beyond closeBy.
func (l *backlogListener) awaitNext() error {
	next := time.Now().Add(backlogQuiet)
	if next.After(l.closeBy) {
		next = l.closeBy
	}
	return l.SetDeadline(next)
}

// Accept implements net.Listener. It returns net.ErrClosed when the listener is draining and its backlog is empty.
func (l *backlogListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !l.draining.Load() {
		return conn, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Accept does not look at the backlog when its deadline has passed before the call.
		conn, err = l.acceptWaiting()
	}
	if err == nil {
		_ = l.awaitNext()
		return conn, nil
	}
	_ = l.Close()
	l.ended.Do(func() { close(l.drained) })
	return nil, net.ErrClosed
}

// acceptWaiting returns a connection from the backlog without waiting.
func (l *backlogListener) acceptWaiting() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(descriptor uintptr) {
		accepted, _, acceptErr = syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || acceptErr != nil {
		return nil, errors.Wrap(cmp.Or(err, acceptErr), "accept from the backlog")
	}
	file := os.NewFile(uintptr(accepted), "accepted connection")
	defer file.Close()
	return net.FileConn(file)
}
