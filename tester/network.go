package tester

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Network connects instances in memory, so that virtual time passes while they wait for each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cut       map[string]bool
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*pipeListener), cut: make(map[string]bool)}
}

// CutOff makes an address unreachable; data written to it on open connections is dropped.
func (n *Network) CutOff(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
}

// Listen returns the listener of an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[address], n.cut[address]
	n.mu.Unlock()
	if l == nil || cut {
		return nil, errors.Errorf("dial %s: address is unreachable", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.accepted <- serverEnd:
		return &partitionedConn{Conn: clientEnd, network: n, address: address}, nil
	case <-l.closed:
		return nil, errors.Errorf("dial %s: listener is closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// partitionedConn drops what is written to an address that is cut off, like a connection across a network partition.
type partitionedConn struct {
	net.Conn
	network *Network
	address string
}

// Write implements net.Conn.
func (c *partitionedConn) Write(data []byte) (int, error) {
	c.network.mu.Lock()
	cut := c.network.cut[c.address]
	c.network.mu.Unlock()
	if cut {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

type pipeListener struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return pipeAddress(l.address)
}

type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }
