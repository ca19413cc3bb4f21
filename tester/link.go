package tester

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkChunkBytes is the maximum number of bytes that a link delivers at once.
const linkChunkBytes = 4 << 10

// Link limits the rate at which one instance receives data on all of its connections together, and that at which it sends
// data.
type Link struct {
	network       *Network
	receive, send direction
}

// NewLink returns a link to a network with the same rate in both directions.
func NewLink(network *Network, bytesPerSecond int) *Link {
	return &Link{
		network: network, receive: direction{bytesPerSecond: bytesPerSecond}, send: direction{bytesPerSecond: bytesPerSecond},
	}
}

// direction is one direction of a link.
type direction struct {
	bytesPerSecond int

	mu sync.Mutex
	// freeAt is when the link has delivered the data that it has accepted so far.
	freeAt time.Time
}

// Dial connects to an address of the network through the link.
func (l *Link) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := l.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return l.Wrap(conn), nil
}

// Wrap returns a connection whose data goes through the link.
func (l *Link) Wrap(conn net.Conn) net.Conn {
	return &linkConn{Conn: conn, link: l}
}

// deliver blocks until the link has delivered a number of bytes.
func (d *direction) deliver(count int) {
	d.mu.Lock()
	now := time.Now()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(count) * time.Second / time.Duration(d.bytesPerSecond))
	wait := d.freeAt.Sub(now)
	d.mu.Unlock()
	time.Sleep(wait)
}

// linkConn is a connection whose data arrives at the rate of a link.
type linkConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *linkConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), linkChunkBytes)])
	c.link.receive.deliver(n)
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		piece := data[written:min(written+linkChunkBytes, len(data))]
		c.link.send.deliver(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
