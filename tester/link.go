package tester

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkChunkBytes is the maximum number of bytes that a link delivers at once.
const linkChunkBytes = 4 << 10

// Link limits the rate at which one instance receives data on all of its connections together.
type Link struct {
	network        *Network
	bytesPerSecond int

	mu sync.Mutex
	// freeAt is when the link has delivered the data that it has accepted so far.
	freeAt time.Time
}

// NewLink returns a link to a network.
func NewLink(network *Network, bytesPerSecond int) *Link {
	return &Link{network: network, bytesPerSecond: bytesPerSecond}
}

// Dial connects to an address of the network through the link.
func (l *Link) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := l.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l}, nil
}

// deliver blocks until the link has delivered a number of bytes.
func (l *Link) deliver(count int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(count) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
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
	c.link.deliver(n)
	return n, err
}
