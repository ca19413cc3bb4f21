package measurer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/messenger"
)

const (
	// heartbeatRounds is the number of measured heartbeats to each peer; an instance sends two a second to each.
	heartbeatRounds     = 100
	heartbeatsPerSecond = 2
	peersToday          = membersToday - 1 + 2
	peersLater          = membersLater - 1 + capacityZones - 1
	heartbeatsWarmUp    = 5
	peerCallTimeout     = 5 * time.Second
)

func peerSweeps(uint64) []sweep {
	peers := []int{2, 4, 8, 15, 31, 63}
	return []sweep{
		{
			"bytes a second sent and received by an instance", "peers called and calling, 2 heartbeats a second each",
			peers, peersToday, peersLater,
			func(size int) float64 { bytes, _ := heartbeatCost(size); return bytes },
		},
		{
			"µs of processor a second of an instance, transport only", "peers called and calling, 2 heartbeats a second each",
			peers, peersToday, peersLater,
			func(size int) float64 { _, processor := heartbeatCost(size); return processor },
		},
		{
			"bytes of memory of both ends of the connections", "peers", peers, peersToday, peersLater, connectionBytes,
		},
	}
}

// stubPeer returns a constant response to each call.
type stubPeer struct{}

func (stubPeer) Heartbeat(context.Context, messenger.Heartbeat) (messenger.HeartbeatReply, error) {
	return messenger.HeartbeatReply{Owner: assigner.Owner{Instance: "entry-instance-017", Incarnation: 1_780_000_000_000_000_000}}, nil
}

func (stubPeer) Release(context.Context, messenger.Release) (messenger.ReleaseReply, error) {
	return messenger.ReleaseReply{}, nil
}

func (stubPeer) Tickets(context.Context, messenger.TicketsRequest) (messenger.TicketsReply, error) {
	return messenger.TicketsReply{}, nil
}

func (stubPeer) Report(context.Context, messenger.ReportRequest) (messenger.ReportReply, error) {
	return messenger.ReportReply{}, nil
}

// countingConn counts the bytes that are read and written, without the overhead of TCP.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// peerMesh is one client and a listener for each of its peers, connected over loopback.
type peerMesh struct {
	client    *messenger.Client
	listeners []*messenger.Listener
	bytes     atomic.Int64
}

func newPeerMesh(peers int) *peerMesh {
	mesh := &peerMesh{}
	dialer := net.Dialer{}
	mesh.client = messenger.NewClient(messenger.WithCallTimeout(peerCallTimeout),
		messenger.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return countingConn{Conn: conn, bytes: &mesh.bytes}, err
		}))
	for range peers {
		listener, err := messenger.Listen("127.0.0.1:0", stubPeer{})
		if err != nil {
			continue
		}
		mesh.listeners = append(mesh.listeners, listener)
	}
	return mesh
}

func (m *peerMesh) round() {
	heartbeat := heartbeatWith(0)
	for _, listener := range m.listeners {
		_, _ = m.client.Heartbeat(context.Background(), listener.Address(), heartbeat)
	}
}

func (m *peerMesh) close() {
	_ = m.client.Close()
	for _, listener := range m.listeners {
		_ = listener.Close()
	}
}

// heartbeatCost returns the bytes and the processor time in microseconds that an instance spends each second when it
// calls its peers and is called by them as often. Both ends of a measured exchange run in this process, so its
// processor time is that of one sent and one received heartbeat of an instance. Its bytes are counted at the client
// only and are doubled, because an instance transfers them once as the caller and once as the callee.
func heartbeatCost(peers int) (bytes, processor float64) {
	mesh := newPeerMesh(peers)
	defer mesh.close()
	for range heartbeatsWarmUp {
		mesh.round()
	}
	before := mesh.bytes.Load()
	each := microsecondsEach(heartbeatRounds, func(int) { mesh.round() })
	moved := float64(mesh.bytes.Load()-before) / heartbeatRounds
	return 2 * heartbeatsPerSecond * moved, heartbeatsPerSecond * each
}

// connectionBytes returns the heap bytes of the connections of one instance to its peers, including the ends at the
// peers.
func connectionBytes(peers int) float64 {
	var mesh *peerMesh
	bytes := heapBytes(func() any {
		mesh = newPeerMesh(peers)
		mesh.round()
		return mesh
	})
	mesh.close()
	return bytes
}
