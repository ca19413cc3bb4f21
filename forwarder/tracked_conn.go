package forwarder

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// past is a deadline that ends reads and writes in progress.
var past = time.Unix(1, 0)

// maxDrainedBytes bounds how much of an abandoned answer is read.
const maxDrainedBytes = 1 << 20

// trackedConn is a connection that knows whether an exchange has written to it. While an exchange uses it, Close only
// ends its reads and writes; the exchange closes it when it is told to release it.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	quiet   sync.Cond
	user    *connUse
	calls   int
	writes  int64
	pending int64
	closed  bool
}

// connUse is the use of a connection by one exchange.
type connUse struct {
	conn         *trackedConn
	writesBefore int64
}

func newTrackedConn(conn net.Conn) *trackedConn {
	c := &trackedConn{Conn: conn}
	c.quiet.L = &c.mu
	return c
}

// use assigns the connection to an exchange.
func (c *trackedConn) use() *connUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = &connUse{conn: c, writesBefore: c.writes}
	return c.user
}

// Read implements net.Conn.
func (c *trackedConn) Read(data []byte) (int, error) {
	if err := c.enter(0); err != nil {
		return 0, err
	}
	defer c.leave(0, 0)
	return c.Conn.Read(data)
}

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	if err := c.enter(1); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	var written int64
	if n > 0 {
		written = 1
	}
	c.leave(1, written)
	return n, err
}

func (c *trackedConn) enter(pending int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.calls++
	c.pending += pending
	return nil
}

func (c *trackedConn) leave(pending, written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.pending -= pending
	c.writes += written
	c.quiet.Broadcast()
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
		return c.Conn.SetDeadline(past)
	}
	return c.Conn.Close()
}

// done ends a use after a complete exchange. The connection may already be used by the next exchange.
func (u *connUse) done() {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != u {
		return
	}
	c.user = nil
	if c.closed {
		_ = c.Conn.Close()
	}
}

// seal prevents all further writes and reports whether a byte was written, or may have been, during this use. A
// connection that the next exchange already uses is left alone.
func (u *connUse) seal() bool {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != u {
		return true
	}
	c.closed = true
	_ = c.Conn.SetDeadline(past)
	for c.calls > 0 {
		c.quiet.Wait()
	}
	return c.writes > u.writesBefore
}

// release closes a sealed connection. When a byte was written, it first tells the server that no more will come, and
// waits until the server closes the connection too, since the server may run the request until then. It reports
// whether the server did. A server that keeps sending an answer may not notice the half-closed connection; after
// maxDrainedBytes the connection is closed, so that its writes fail.
func (u *connUse) release(sent bool, wait time.Duration) bool {
	c := u.conn
	if !u.isCurrent() {
		return true
	}
	defer c.Conn.Close()
	if !sent {
		return true
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	if err := c.Conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return true
	}
	if err := half.CloseWrite(); err != nil {
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
