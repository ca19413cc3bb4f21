package gatekeeper

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// phase is the part of a request that a connection reads.
type phase int

const (
	header phase = iota
	reqBody
	// complete is the time from the end of a request to its answer.
	complete
)

// answerTime bounds the time in which a caller takes an answer. Callers wait for 3 s in all.
const answerTime = 10 * time.Second

// errInterrupted is the result of reads of a connection that the gate closes.
var errInterrupted = errors.New("connection was closed because the memory for callers is used up")

// The answers to a request whose header is not complete. The HTTP server cannot send them, because it sees only a failed read.
const (
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailable    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// connection is a connection of a caller. The HTTP server reads it from the goroutine of the request and, while a request is
// served, from another one that waits for the end of the connection.
type connection struct {
	net.Conn
	gate    *Gate
	account *Account
	// writeDeadline is the deadline of writes that was set last.
	writeDeadline time.Time

	mu          sync.Mutex
	phase       phase
	headerBytes int64
	// wireBytes is what was read since the body of the request began.
	wireBytes    int64
	bodyDeadline time.Time
	// interrupted is set when the gate closes the connection, and aborted while the HTTP server ends a read with a deadline in the
	// past.
	interrupted bool
	aborted     bool
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	c.awaitBody()
	n, err := c.Conn.Read(p)
	inHeader, interrupted := c.received(n)
	if interrupted {
		return 0, c.failed(errInterrupted)
	}
	if n > 0 && inHeader {
		if err := c.chargeHeader(p[:n]); err != nil {
			return 0, c.failed(err)
		}
	}
	return n, err
}

// Write implements net.Conn. The deadline ends answers that the caller does not take. It is at least answerTime and at most twice as
// far away, because setting it for each write would cost more than the rest of the gate. Only one goroutine writes at a time.
func (c *connection) Write(p []byte) (int, error) {
	if now := time.Now(); c.writeDeadline.Sub(now) < answerTime {
		c.writeDeadline = now.Add(2 * answerTime)
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	return c.Conn.Write(p)
}

// received counts the bytes of a read. It reports whether they belong to a header, and whether the gate closes the connection.
func (c *connection) received(n int) (inHeader, interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == header {
		c.headerBytes += int64(n)
	} else {
		c.wireBytes += int64(n)
	}
	return c.phase == header, c.interrupted
}

// overhead returns how many bytes were read beside the data of the body.
func (c *connection) overhead(bodyBytes int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wireBytes - bodyBytes
}

// failed returns an error that makes the HTTP server close the connection without an answer.
func (c *connection) failed(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// chargeHeader charges bytes of a header, and answers and fails if they exceed the limit or the memory. Only the goroutine of the
// request reads a header.
func (c *connection) chargeHeader(received []byte) error {
	if c.headerBytes > headerBytesSlack {
		if limit := c.gate.headerLimit(); limit > 0 && c.headerBytes > limit+headerBytesSlack {
			c.gate.reporter.closedFor(causeHeader, c)
			_, _ = c.Write([]byte(headerTooLarge))
			return errors.Errorf("header exceeds %d bytes", limit)
		}
	}
	lines := bytes.Count(received, []byte("\n"))
	err := c.gate.charge(c, headerCopies*int64(len(received))+headerLineBytes*int64(lines))
	if err != nil {
		_, _ = c.Write([]byte(unavailable))
	}
	return err
}

// awaitBody sets the deadline of the next read if it is one of a body.
func (c *connection) awaitBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != reqBody || c.interrupted || c.aborted {
		return
	}
	limits, now := c.gate.limits, time.Now()
	if c.bodyDeadline.IsZero() {
		c.bodyDeadline = now.Add(limits.BodyTime)
	}
	deadline := c.bodyDeadline
	if silent := now.Add(limits.BodySilence); silent.Before(deadline) {
		deadline = silent
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

func (c *connection) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.wireBytes, c.bodyDeadline = reqBody, 0, time.Time{}
}

// endBody removes the deadline, because the HTTP server waits on the connection for its end while it serves a request.
func (c *connection) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == reqBody && !c.bodyDeadline.IsZero() && !c.interrupted {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.phase = complete
}

func (c *connection) beginHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headerBytes = header, 0
}

// SetReadDeadline implements net.Conn. It has no effect once the gate has interrupted the connection.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	c.aborted = !deadline.IsZero() && deadline.Before(time.Now())
	return c.Conn.SetReadDeadline(deadline)
}

// interrupt makes the present and all later reads fail. The server then answers a request whose header is complete, and closes the
// connection.
func (c *connection) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite ends what is sent to the caller. The HTTP server uses it, so that the answer to an incomplete request is not lost.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.gate.close(c)
	return c.Conn.Close()
}

func (g *Gate) headerLimit() int64 {
	if g.limits.HeaderBytes == nil {
		return 0
	}
	return g.limits.HeaderBytes()
}
