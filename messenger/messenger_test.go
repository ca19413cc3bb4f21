package messenger_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// echoHandler responds with values of the request. Requests for tickets after -1 and -2 get an error and a response of
// 8 KiB.
type echoHandler struct{}

func (echoHandler) Heartbeat(_ context.Context, heartbeat messenger.Heartbeat) (messenger.HeartbeatReply, error) {
	return messenger.HeartbeatReply{Owner: heartbeat.Owner}, nil
}

func (echoHandler) Release(_ context.Context, release messenger.Release) (messenger.ReleaseReply, error) {
	return messenger.ReleaseReply{Owner: release.Heartbeat.Owner}, nil
}

func (echoHandler) Report(_ context.Context, request messenger.ReportRequest) (messenger.ReportReply, error) {
	return messenger.ReportReply{Content: []byte(`"` + request.About + `"`)}, nil
}

func (echoHandler) Tickets(_ context.Context, request messenger.TicketsRequest) (messenger.TicketsReply, error) {
	switch request.After {
	case -1:
		return messenger.TicketsReply{}, errors.New("no such ticket")
	case -2:
		content, err := json.Marshal(strings.Repeat("x", 8<<10))
		return messenger.TicketsReply{Tickets: []messenger.Ticket{{Content: content}}}, err
	}
	return messenger.TicketsReply{Tickets: []messenger.Ticket{{Number: request.After + 1}}}, nil
}

func heartbeat() messenger.Heartbeat {
	owner := assigner.Owner{Instance: "entry-1", Incarnation: 7}
	return messenger.Heartbeat{Heartbeat: assigner.Heartbeat{
		Owner: owner, Epoch: 3,
		StillBusy: []assigner.ServerSlots{{BackendServer: "backend-1", Slots: 1<<63 | 1}},
	}}
}

// TestCallsKeepFields guards against a message that loses a field, with and without encryption.
func TestCallsKeepFields(t *testing.T) {
	tlsServer := httptest.NewUnstartedServer(nil)
	tlsServer.StartTLS()
	defer tlsServer.Close()
	client := &tls.Config{RootCAs: tlsServer.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"}
	encrypted := messenger.WithTLS(&tls.Config{Certificates: tlsServer.TLS.Certificates})
	for name, options := range map[string][2][]messenger.Option{
		"plain":     {},
		"encrypted": {{encrypted}, {messenger.WithTLS(client)}},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := messenger.Listen("127.0.0.1:0", echoHandler{}, options[0]...)
			require.NoError(t, err)
			pool := messenger.NewClient(options[1]...)
			ctx := context.Background()
			reply, err := pool.Heartbeat(ctx, listener.Address(), heartbeat())
			require.NoError(t, err)
			require.Equal(t, heartbeat().Owner, reply.Owner)
			released, err := pool.Release(ctx, listener.Address(), messenger.Release{Heartbeat: heartbeat()})
			require.NoError(t, err)
			require.Equal(t, heartbeat().Owner, released.Owner)
			tickets, err := pool.Tickets(ctx, listener.Address(), messenger.TicketsRequest{After: 4})
			require.NoError(t, err)
			require.Equal(t, int64(5), tickets.Tickets[0].Number)
			require.NoError(t, pool.Close())
			require.NoError(t, listener.Close())
		})
	}
}

// TestRefusedConnection guards against reporting a refused connection, which proves that no process listens there, as a
// missing response, and against reporting it again without a new attempt to connect.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	pool := messenger.NewClient()
	_, err = pool.Heartbeat(context.Background(), address, heartbeat())
	require.True(t, messenger.IsErrRefused(err), "%v", err)
	require.False(t, messenger.IsErrNoResponse(err))
	_, err = pool.Heartbeat(context.Background(), address, heartbeat())
	require.True(t, messenger.IsErrBackoff(err), "%v", err)
	require.False(t, messenger.IsErrRefused(err))
}

// pipeListener accepts the far ends of in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipeListener) Close() error {
	close(p)
	return nil
}

func (p pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// dialTo connects to a peer and appends the peer's ends of the connections to conns.
func dialTo(peer func(net.Conn), conns *[]net.Conn) messenger.Option {
	return messenger.WithDial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		*conns = append(*conns, far)
		go peer(far)
		return near, nil
	})
}

func serve(conn net.Conn) {
	accept := make(pipeListener, 1)
	accept <- conn
	listener := messenger.Serve(accept, echoHandler{}, messenger.WithMessageBytes(4<<10))
	time.Sleep(10 * time.Second)
	_ = listener.Close()
}

func send(text string) func(net.Conn) {
	return func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, _ = conn.Write([]byte(text))
	}
}

// TestPeerFaults guards against a call that hangs, or that reports a faulty peer as one that refused the connection.
func TestPeerFaults(t *testing.T) {
	cases := map[string]struct {
		peer  func(net.Conn)
		after int64
		is    func(error) bool
	}{
		"closed":                   {func(conn net.Conn) { _ = conn.Close() }, 0, messenger.IsErrNoResponse},
		"silent":                   {send(""), 0, messenger.IsErrNoResponse},
		"does not read":            {func(net.Conn) {}, 0, messenger.IsErrNoResponse},
		"slow":                     {func(conn net.Conn) { time.Sleep(2 * time.Second); serve(conn) }, 0, messenger.IsErrNoResponse},
		"garbage":                  {send("HTTP/1.1 400 Bad Request\r\n" + strings.Repeat("x", 100)), 0, messenger.IsErrNoResponse},
		"oversized announcement":   {send("\xff\xff\xff\xff\x7f"), 0, messenger.IsErrNoResponse},
		"answer for another call":  {send("\x29" + `{"jsonrpc":"2.0","id":99,"result":{"A":1}}`), 0, messenger.IsErrNoResponse},
		"rejected by the handler":  {serve, -1, messenger.IsErrRejected},
		"answer above their limit": {serve, -2, messenger.IsErrRejected},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var conns []net.Conn
				pool := messenger.NewClient(dialTo(fault.peer, &conns))
				_, err := pool.Tickets(t.Context(), "peer", messenger.TicketsRequest{After: fault.after})
				require.True(t, fault.is(err), "%v", err)
				require.False(t, messenger.IsErrRefused(err))
				require.NoError(t, pool.Close())
				time.Sleep(time.Minute)
				for _, conn := range conns {
					_ = conn.Close()
				}
			})
		})
	}
}

// TestReconnectBacksOff guards against a peer that is called at a high rate while it is unreachable, and against one
// that is not called again when it is reachable.
func TestReconnectBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials, reachable := 0, false
		pool := messenger.NewClient(messenger.WithJitter(func() float64 { return 0 }),
			messenger.WithDial(func(context.Context, string) (net.Conn, error) {
				dials++
				if !reachable {
					return nil, errors.New("no route to host")
				}
				near, far := net.Pipe()
				go serve(far)
				return near, nil
			}))
		for range 600 {
			_, err := pool.Heartbeat(t.Context(), "peer", heartbeat())
			require.True(t, messenger.IsErrNoResponse(err) || messenger.IsErrBackoff(err), "%v", err)
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 62, dials, 4, "one attempt a second after the first few")
		reachable = true
		time.Sleep(2 * time.Second)
		_, err := pool.Heartbeat(t.Context(), "peer", heartbeat())
		require.NoError(t, err)
		require.NoError(t, pool.Close())
		time.Sleep(time.Minute)
	})
}

// TestPoolIsBounded guards against open connections that accumulate when the addresses of peers change.
func TestPoolIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var conns []net.Conn
		pool := messenger.NewClient(dialTo(serve, &conns), messenger.WithConnections(2))
		for _, address := range []string{"a", "b", "a", "c"} {
			_, err := pool.Heartbeat(t.Context(), address, heartbeat())
			require.NoError(t, err)
		}
		synctest.Wait()
		require.Len(t, conns, 3)
		_, err := conns[1].Write(nil)
		require.ErrorIs(t, err, io.ErrClosedPipe, "the least recently used connection is closed")
		_, err = pool.Heartbeat(t.Context(), "a", heartbeat())
		require.NoError(t, err)
		require.Len(t, conns, 3, "the other connection remains")
		require.NoError(t, pool.Close())
		time.Sleep(time.Minute)
	})
}

// TestConnectionsOfLostPeersEnd guards against connections that instances without power leave open at another one until it accepts none.
func TestConnectionsOfLostPeersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 3
		accept := make(pipeListener)
		listener := messenger.Serve(accept, echoHandler{}, messenger.WithConnections(limit), messenger.WithLogger(slog.New(slog.DiscardHandler)))
		var lost []net.Conn
		connect := func() error {
			client := messenger.NewClient(messenger.WithDial(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				accept <- far
				lost = append(lost, near)
				return neverClosed{near}, nil
			}))
			_, err := client.Heartbeat(t.Context(), "peer", heartbeat())
			_ = client.Close()
			return err
		}
		for range limit {
			require.NoError(t, connect())
		}
		require.Error(t, connect())
		time.Sleep(time.Minute)
		for range limit {
			require.NoError(t, connect())
		}
		require.NoError(t, listener.Close())
		for _, conn := range lost {
			_ = conn.Close()
		}
		time.Sleep(time.Minute)
	})
}

// neverClosed is a connection whose peer is not told that it has been closed.
type neverClosed struct{ net.Conn }

// Close implements net.Conn.
func (neverClosed) Close() error { return nil }
