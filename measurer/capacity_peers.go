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
	// heartbeatRounds is the number of measured heartbeats to each peer; two are sent a second.
	heartbeatRounds    = 100
	heartbeatsASecond  = 2
	peersToday         = membersToday - 1 + 2
	peersLater         = membersLater - 1 + capacityZones - 1
	heartbeatsWarmUp   = 5
	capacityPeerCallAt = 5 * time.Second
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

// echoPeer answers heartbeats.
type echoPeer struct{}

func (echoPeer) Heartbeat(context.Context, messenger.Heartbeat) (messenger.HeartbeatReply, error) {
	return messenger.HeartbeatReply{Owner: assigner.Owner{Instance: "entry-instance-017", Incarnation: 1_780_000_000_000_000_000}}, nil
}

func (echoPeer) Release(context.Context, messenger.Release) (messenger.ReleaseReply, error) {
	return messenger.ReleaseReply{}, nil
}

func (echoPeer) Tickets(context.Context, messenger.TicketsRequest) (messenger.TicketsReply, error) {
	return messenger.TicketsReply{}, nil
}

func (echoPeer) Report(context.Context, messenger.ReportRequest) (messenger.ReportReply, error) {
	return messenger.ReportReply{}, nil
}

// countedConn counts the bytes of both directions above TCP.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// peerMesh is one client with a listener for each peer, over loopback.
type peerMesh struct {
	client    *messenger.Client
	listeners []*messenger.Listener
	bytes     atomic.Int64
}

func newPeerMesh(peers int) *peerMesh {
	mesh := &peerMesh{}
	dialer := net.Dialer{}
	mesh.client = messenger.NewClient(messenger.WithCallTimeout(capacityPeerCallAt),
		messenger.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return countedConn{Conn: conn, bytes: &mesh.bytes}, err
		}))
	for range peers {
		listener, err := messenger.Listen("127.0.0.1:0", echoPeer{})
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

// heartbeatCost returns the bytes and the processor time in microseconds a second of one instance that calls its peers
// and is called as often. One exchange costs both ends together what an instance spends on one sent and one received
// heartbeat; it moves its bytes twice, once as caller and once as called.
func heartbeatCost(peers int) (bytes, processor float64) {
	mesh := newPeerMesh(peers)
	defer mesh.close()
	for range heartbeatsWarmUp {
		mesh.round()
	}
	before := mesh.bytes.Load()
	each := microsecondsEach(heartbeatRounds, func(int) { mesh.round() })
	moved := float64(mesh.bytes.Load()-before) / heartbeatRounds
	return 2 * heartbeatsASecond * moved, heartbeatsASecond * each
}

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
