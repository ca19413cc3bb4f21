package coordinator

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/timekeeper"
)

// maxAnswerBytes bounds what a question for a proof and its answer take on the wire, both ways and with the framing of messages: at
// 1,000 instances an owner has up to 500 of them a second.
const maxAnswerBytes = 600

// oneConfiguration is a follower.Source with a configuration that does not change.
type oneConfiguration struct{}

// Configuration implements follower.Source.
func (oneConfiguration) Configuration(_ context.Context, known int64) (follower.Reading, error) {
	if known > 0 {
		return follower.Reading{StoreRevision: 1}, nil
	}
	return follower.Reading{StoreRevision: 1, Newer: &specifier.Configuration{Version: 1, Revision: 1 << 40}}, nil
}

// AwaitChange implements follower.Source.
func (oneConfiguration) AwaitChange(ctx context.Context, _ int64, wait time.Duration) (follower.Change, error) {
	timekeeper.Sleep(ctx, wait)
	return follower.Change{}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// askedOwner is an instance with a proof, and a client that asks it and counts the bytes.
type askedOwner struct {
	address string
	client  *messenger.Client
	bytes   atomic.Int64
}

func newAskedOwner(t testing.TB, accept net.Listener, dial messenger.Dial) *askedOwner {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := timekeeper.NewSteadyClock()
	proofs := follower.New(oneConfiguration{}, follower.WithLogger(logger), follower.WithFreshness(follower.Freshness{
		Clock: clock, Enough: time.Second, Owners: func() []follower.Peer { return nil }, ReadsStore: func() bool { return true },
	}))
	go proofs.Run(t.Context())
	_, _, err := proofs.Await(t.Context(), 0)
	require.NoError(t, err)
	c := &Coordinator{settings: settings{configurations: proofs}}
	c.elector = elector.New(fakekeeper.NewTransactional(), elector.Owner{}, nil, clock, logger)
	listener := messenger.ServeMethods(accept, messenger.Methods{methodNewer: messenger.NewMethod(c.handleNewer)}, messenger.WithLogger(logger))
	o := &askedOwner{address: accept.Addr().String()}
	o.client = messenger.NewClient(messenger.WithLogger(logger), messenger.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return countedConn{Conn: conn, bytes: &o.bytes}, err
	}))
	t.Cleanup(func() {
		require.NoError(t, o.client.Close())
		require.NoError(t, listener.Close())
	})
	return o
}

func (o *askedOwner) ask(t testing.TB) newerReply {
	reply, err := messenger.Call[newerRequest, newerReply](t.Context(), o.client, o.address, methodNewer, newerRequest{Known: 1 << 40})
	require.NoError(t, err)
	return reply
}

// TestProofIsSmall guards against answers that carry the configuration although the instance knows it, or that fill the links of owners.
func TestProofIsSmall(t *testing.T) {
	network := tester.NewNetwork()
	owner := newAskedOwner(t, network.Listen("owner"), network.Dial)
	owner.ask(t)
	before := owner.bytes.Load()
	reply := owner.ask(t)
	require.True(t, reply.Knows && reply.Proven)
	require.Equal(t, int64(1<<40), reply.Revision)
	require.Empty(t, reply.Data)
	bytes := owner.bytes.Load() - before
	t.Logf("%d bytes for a question and its answer", bytes)
	require.Less(t, bytes, int64(maxAnswerBytes))
}

// BenchmarkProof shows the time of a question and its answer over the loopback interface, on both sides together.
func BenchmarkProof(b *testing.B) {
	accept, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	owner := newAskedOwner(b, accept, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	for b.Loop() {
		owner.ask(b)
	}
}
