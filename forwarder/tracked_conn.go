package forwarder

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// pastDeadline is a deadline that interrupts reads and writes in progress.
var pastDeadline = time.Unix(1, 0)

const (
	// maxDrainedBytes bounds how much of an abandoned response is read.
	maxDrainedBytes = 1 << 20
	// closeWait is how long a closed connection waits for the server to close its side.
	closeWait = time.Second
)

// trackedConn is a connection that records whether an exchange has written to it. While an exchange uses it, Close only
// interrupts its reads and writes; the underlying connection is closed by connUse.done or connUse.release.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	idle          sync.Cond
	user          *connUse
	activeCalls   int
	writes        int64
	pendingWrites int64
	closed        bool
	// onClosed is called when the underlying connection has been closed.
	onClosed func()
	ended    sync.Once
}

// connUse is the use of a connection by one exchange.
type connUse struct {
	conn         *trackedConn
	writesBefore int64
}

func newTrackedConn(conn net.Conn, onClosed func()) *trackedConn {
	c := &trackedConn{Conn: conn, onClosed: onClosed}
	c.idle.L = &c.mu
	return c
}

// use assigns the connection to a new exchange.
func (c *trackedConn) use() *connUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = &connUse{conn: c, writesBefore: c.writes}
	return c.user
}

// Read implements net.Conn.
func (c *trackedConn) Read(data []byte) (int, error) {
	if err := c.beginCall(0); err != nil {
		return 0, err
	}
	defer c.endCall(0, 0)
	return c.Conn.Read(data)
}

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	if err := c.beginCall(1); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	var written int64
	if n > 0 {
		written = 1
	}
	c.endCall(1, written)
	return n, err
}

func (c *trackedConn) beginCall(pendingWrites int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.activeCalls++
	c.pendingWrites += pendingWrites
	return nil
}

func (c *trackedConn) endCall(pendingWrites, written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls--
	c.pendingWrites -= pendingWrites
	c.writes += written
	c.idle.Broadcast()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if c.user != nil {
		return c.Conn.SetDeadline(pastDeadline)
	}
	return c.closeIdle()
}

// closeIdle closes a connection that no exchange uses. The server counts the connection until it notices that, so that it
// counts here until the server has closed its side, too.
func (c *trackedConn) closeIdle() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.closeUnderlying()
	}
	_ = c.Conn.SetDeadline(time.Now().Add(closeWait))
	if err := halfCloser.CloseWrite(); err != nil {
		return c.closeUnderlying()
	}
	go func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainedBytes))
		_ = c.closeUnderlying()
	}()
	return nil
}

func (c *trackedConn) closeUnderlying() error {
	err := c.Conn.Close()
	c.ended.Do(c.onClosed)
	return err
}

// done ends the use of a connection after a complete exchange. The next exchange may already use the connection.
func (u *connUse) done() {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != u {
		return
	}
	c.user = nil
	if c.closed {
		_ = c.closeIdle()
	}
}

// abort prevents all further writes, waits for reads and writes in progress to return, and reports whether a byte was
// written, or may have been, during this use. A connection that the next exchange already uses is not changed.
func (u *connUse) abort() bool {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != u {
		return true
	}
	c.closed = true
	_ = c.Conn.SetDeadline(pastDeadline)
	for c.activeCalls > 0 {
		c.idle.Wait()
	}
	return c.writes > u.writesBefore
}

// release closes an aborted connection. When a byte was written, it first half-closes the connection, which signals to
// the server that no more data follows, and waits until the server closes the connection too, since the server may run
// the request until then. It reports whether the server did. A server that keeps sending a response may not notice the
// half-closed connection; after maxDrainedBytes the connection is closed, so that its writes fail.
func (u *connUse) release(sent bool, wait time.Duration) bool {
	c := u.conn
	if !u.isCurrent() {
		return true
	}
	defer func() { _ = c.closeUnderlying() }()
	if !sent {
		return true
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	if err := c.Conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return true
	}
	if err := halfCloser.CloseWrite(); err != nil {
		return true
	}
	drained, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainedBytes))
	return drained < maxDrainedBytes && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (u *connUse) isCurrent() bool {
	u.conn.mu.Lock()
	defer u.conn.mu.Unlock()
	return u.conn.user == u
}
