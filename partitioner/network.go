// Package partitioner is a loopback network for tests and the demo whose availability zones can be cut off from each
// other.
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

// connectTimeout is how long a connection attempt across a cut takes to fail when its context allows more.
const connectTimeout = 300 * time.Millisecond

// Network knows the zone of each address and which zones are cut off from each other.
type Network struct {
	mu    sync.Mutex
	zones map[string]describer.AvailabilityZoneID
	known map[describer.AvailabilityZoneID]bool
	cuts  map[pair]bool
	conns map[*conn]struct{}
}

type pair struct {
	from, to describer.AvailabilityZoneID
}

// New returns a network without cuts.
func New() *Network {
	return &Network{
		zones: make(map[string]describer.AvailabilityZoneID),
		known: map[describer.AvailabilityZoneID]bool{Platform: true},
		cuts:  make(map[pair]bool),
		conns: make(map[*conn]struct{}),
	}
}

// Register records the zone of an address.
func (n *Network) Register(address string, zone describer.AvailabilityZoneID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
	n.known[zone] = true
}

// Isolate cuts a zone off from all others and from the platform, or ends that.
func (n *Network) Isolate(zone describer.AvailabilityZoneID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.known {
		if other != zone {
			n.cuts[pair{zone, other}], n.cuts[pair{other, zone}] = isolated, isolated
		}
	}
	n.breakConns()
}

// breakConns breaks the open connections that cross a cut.
func (n *Network) breakConns() {
	for c := range n.conns {
		if n.cuts[c.pair] {
			delete(n.conns, c)
			_ = c.Conn.Close()
		}
	}
}

// Dialer returns the function with which processes of a zone open connections. An attempt across a cut times out; it
// is not refused, because a refused connection would prove that the process at the address is gone.
func (n *Network) Dialer(from describer.AvailabilityZoneID) func(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	n.known[from] = true
	n.mu.Unlock()
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		way := pair{from, n.zoneOf(address)}
		if n.isCut(way) {
			return nil, timeOut(ctx, network)
		}
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return n.track(way, opened, network)
	}
}

func (n *Network) zoneOf(address string) describer.AvailabilityZoneID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

func (n *Network) isCut(way pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[way]
}

func (n *Network) track(way pair, opened net.Conn, network string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[way] {
		_ = opened.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	c := &conn{Conn: opened, network: n, pair: way}
	n.conns[c] = struct{}{}
	return c, nil
}

func timeOut(ctx context.Context, network string) error {
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

// conn is a connection that a cut breaks.
type conn struct {
	net.Conn
	network *Network
	pair    pair
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection cannot be closed for writing only")
	}
	return half.CloseWrite()
}
