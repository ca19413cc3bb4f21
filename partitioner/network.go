// Package partitioner provides a loopback network for tests and the demo whose availability zones can be partitioned
// from each other.
package partitioner

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// Platform is the zone of the platform's own services.
const Platform describer.AvailabilityZoneID = "platform"

// connectTimeout is how long a connection attempt across a partition takes to fail unless its context ends first.
const connectTimeout = 300 * time.Millisecond

// Network holds the zone of each address and the zones that are partitioned from each other.
type Network struct {
	mu            sync.Mutex
	zoneByAddress map[string]describer.AvailabilityZoneID
	knownZones    map[describer.AvailabilityZoneID]bool
	partitioned   map[zonePair]bool
	conns         map[*conn]struct{}
}

// zonePair is the zone that opens a connection and the zone of the address it connects to.
type zonePair struct {
	from, to describer.AvailabilityZoneID
}

// New returns a network without partitions.
func New() *Network {
	return &Network{
		zoneByAddress: make(map[string]describer.AvailabilityZoneID),
		knownZones:    map[describer.AvailabilityZoneID]bool{Platform: true},
		partitioned:   make(map[zonePair]bool),
		conns:         make(map[*conn]struct{}),
	}
}

// Register records the zone of an address.
func (n *Network) Register(address string, zone describer.AvailabilityZoneID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneByAddress[address] = zone
	n.knownZones[zone] = true
}

// Isolate partitions a zone from all others and from the platform and closes the open connections between them, or ends
// all partitions of the zone.
func (n *Network) Isolate(zone describer.AvailabilityZoneID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.knownZones {
		if other != zone {
			n.partitioned[zonePair{zone, other}], n.partitioned[zonePair{other, zone}] = isolated, isolated
		}
	}
	n.closePartitionedConns()
}

// closePartitionedConns closes the open connections across a partition.
func (n *Network) closePartitionedConns() {
	for c := range n.conns {
		if n.partitioned[c.pair] {
			delete(n.conns, c)
			_ = c.Conn.Close()
		}
	}
}

// Dialer returns the function with which processes of a zone open connections. An attempt across a partition times out
// and is not refused, because a refused connection would prove that the process at the address has ended.
func (n *Network) Dialer(from describer.AvailabilityZoneID) func(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	n.knownZones[from] = true
	n.mu.Unlock()
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		pair := zonePair{from, n.zoneOf(address)}
		if n.isPartitioned(pair) {
			return nil, waitForTimeout(ctx, network)
		}
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return n.track(pair, opened, network)
	}
}

func (n *Network) zoneOf(address string) describer.AvailabilityZoneID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zoneByAddress[address]
}

func (n *Network) isPartitioned(pair zonePair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[pair]
}

// track records an opened connection so that a later partition closes it. If a partition began during the attempt, the
// connection is closed immediately.
func (n *Network) track(pair zonePair, opened net.Conn, network string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned[pair] {
		_ = opened.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	c := &conn{Conn: opened, network: n, pair: pair}
	n.conns[c] = struct{}{}
	return c, nil
}

// waitForTimeout waits for connectTimeout or the end of the context and returns the error of an attempt that timed out.
func waitForTimeout(ctx context.Context, network string) error {
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

// conn is a connection that is closed when a partition separates its zones.
type conn struct {
	net.Conn
	network *Network
	pair    zonePair
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side of the connection, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection does not support half-close")
	}
	return halfCloser.CloseWrite()
}
