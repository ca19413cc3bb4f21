package connector_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/connector"
	"egretring.example/egretring/limiter"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/timekeeper"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

const (
	// maxConnections is how many connections the stand-in accepts.
	maxConnections = 64
	callTimeout    = 5 * time.Second
	// hangPath is that of calls to which the server responds after hangTime.
	hangPath = "/hang"
	hangTime = 2 * callTimeout
)

// backendServer is a stand-in that resets new connections while it has as many as it accepts, and keeps all others until the caller or the
// HTTP server closes them.
type backendServer struct {
	net.Listener
	network *tester.Network
	mu      sync.Mutex
	open    int
	most    int
	resets  int
}

// serverAddress is the address of the stand-in.
const serverAddress = "10.0.0.1:80"

// startServer starts a stand-in, which ends with the test.
func startServer(t *testing.T) *backendServer {
	network := tester.NewNetwork()
	s := &backendServer{Listener: network.Listen(serverAddress), network: network}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Only a request that was read ends with its connection.
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == hangPath {
			timekeeper.Sleep(r.Context(), hangTime)
		}
	})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(s)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return s
}

// Accept implements net.Listener.
func (s *backendServer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return &serverConn{Conn: conn, server: s}, err
}

func (s *backendServer) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	accepts := s.open < maxConnections
	if accepts {
		s.open++
		s.most = max(s.most, s.open)
	} else {
		s.resets++
	}
	s.mu.Unlock()
	if !accepts {
		return resetConn{}, nil
	}
	return s.network.Dial(ctx, address)
}

func (s *backendServer) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

type serverConn struct {
	net.Conn
	server *backendServer
	once   sync.Once
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.once.Do(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.open--
	})
	return c.Conn.Close()
}

// resetConn is a connection that the server has reset.
type resetConn struct{ net.Conn }

// Read implements net.Conn.
func (resetConn) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Write implements net.Conn.
func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Close implements net.Conn.
func (resetConn) Close() error { return nil }

// SetDeadline implements net.Conn.
func (resetConn) SetDeadline(time.Time) error { return nil }

// machine opens the connections of an instance. While it is cut off, as without power, its peers are not told that connections are closed.
type machine struct {
	server *backendServer
	mu     sync.Mutex
	cutOff bool
}

func (m *machine) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.server.dial(ctx, network, address)
	return &machineConn{Conn: conn, machine: m}, err
}

func (m *machine) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutOff = true
}

type machineConn struct {
	net.Conn
	machine *machine
	once    sync.Once
}

// Close implements net.Conn.
func (c *machineConn) Close() error {
	c.machine.mu.Lock()
	cutOff := c.machine.cutOff
	c.machine.mu.Unlock()
	if !cutOff {
		return c.Conn.Close()
	}
	c.once.Do(func() {
		// The pool sees an end of the connection. What the server still sends gets lost.
		_ = c.Conn.SetDeadline(time.Now())
		go func() {
			time.Sleep(time.Millisecond)
			_ = c.Conn.SetDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c.Conn)
		}()
	})
	return nil
}

// owner calls a server through a pool.
type owner struct {
	t      *testing.T
	pool   *connector.Pool
	client *http.Client
	server specifier.Server
}

func newOwner(t *testing.T, server *backendServer, options ...connector.Option) *owner {
	defaults := []connector.Option{
		connector.WithDial(server.dial), connector.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	}
	return &owner{
		t: t, pool: connector.New(append(defaults, options...)...), client: &http.Client{Transport: connector.Transport{}},
		server: specifier.Server{ID: "i-1", Service: "s", Address: serverAddress, Incarnation: 1000},
	}
}

func (o *owner) call(class limiter.Class, path string, timeout time.Duration) error {
	ctx, release, err := o.pool.Reserve(o.t.Context(), connector.Call{Server: o.server, Class: class})
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.server.Address+path, bytes.NewReader([]byte("{}")))
	require.NoError(o.t, err)
	response, err := o.client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// burst makes concurrent calls and returns their errors.
func (o *owner) burst(calls int, class limiter.Class, path string, timeout time.Duration) []error {
	failures := make([]error, calls)
	var all sync.WaitGroup
	for i := range calls {
		all.Go(func() { failures[i] = o.call(class, path, timeout) })
	}
	all.Wait()
	return failures
}

// TestAnyNumberOfLostOwners guards against owners whose connections are all reset because the connections of lost owners are
// still open at the servers.
func TestAnyNumberOfLostOwners(t *testing.T) {
	runLostOwners(t, func(*owner, *machine) {})
}

// TestLostOwnersOfSilentConnections guards against the same by owners that have closed connections for want of a response before they were
// lost.
func TestLostOwnersOfSilentConnections(t *testing.T) {
	runLostOwners(t, func(o *owner, m *machine) {
		m.cut()
		for range 10 {
			require.Error(t, o.call(limiter.Order, hangPath, time.Millisecond))
		}
	})
}

// runLostOwners runs many owners, one after the other, that lose power.
func runLostOwners(t *testing.T, before func(*owner, *machine)) {
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t)
		var losses []time.Time
		for n := range 3 * maxConnections {
			m := &machine{server: server}
			o := newOwner(t, server, connector.WithDial(m.dial), connector.WithLosses(losses))
			for _, err := range o.burst(16, limiter.Order, "/run-start", callTimeout) {
				require.NoError(t, err, "owner %d", n)
			}
			before(o, m)
			m.cut()
			o.pool.Close()
			losses = append(losses, time.Now())
			time.Sleep(hangTime)
		}
		synctest.Wait()
		require.Zero(t, server.resets)
		limits := limiter.LimitsOf(maxConnections)
		require.LessOrEqual(t, server.open, limits.Left)
		require.LessOrEqual(t, server.most, limits.Left+2*limits.Calls)
	})
}

// TestLossesCountDespiteClocks guards against losses that don't count because the clock of an instance is behind that of the server, and
// against those before the start of a server that count for good.
func TestLossesCountDespiteClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t)
		for behind, want := range map[time.Duration]int{
			-time.Hour: limiter.KeptConnections, 10 * time.Second: limiter.KeptConnections, time.Hour: 0,
		} {
			o := newOwner(t, server, connector.WithLosses([]time.Time{time.Now().Add(-behind)}))
			o.server.Incarnation = time.Now().UnixMilli()
			require.NoError(t, o.call(limiter.Order, "/run-start", callTimeout))
			require.Equal(t, want, o.pool.Tally().Left, behind)
			o.pool.Close()
		}
	})
}

// TestFormerOwnerClosesConnections guards against idle connections of an instance that is not the owner any more.
func TestFormerOwnerClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t)
		o := newOwner(t, server)
		for _, err := range o.burst(16, limiter.Order, "/run-start", callTimeout) {
			require.NoError(t, err)
		}
		synctest.Wait()
		require.Equal(t, limiter.KeptConnections, server.openConnections())
		require.Equal(t, limiter.KeptConnections, o.pool.Tally().Idle)
		o.pool.Close()
		synctest.Wait()
		require.Zero(t, server.openConnections())
		require.Zero(t, o.pool.Tally().Open)
	})
}

// TestHungCallsDelayNoUrgentStart guards against urgent starts and renewals that wait behind calls without a response.
func TestHungCallsDelayNoUrgentStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t)
		o := newOwner(t, server)
		var hung sync.WaitGroup
		hung.Go(func() { o.burst(20, limiter.Order, hangPath, callTimeout) })
		limits := limiter.LimitsOf(maxConnections)
		time.Sleep(callTimeout / 2)
		require.GreaterOrEqual(t, o.pool.Tally().InCall, limits.Calls/2)
		require.ErrorIs(t, o.call(limiter.Order, "/run-start", callTimeout), connector.ErrBusy)
		require.NoError(t, o.call(limiter.UrgentStart, "/run-start", callTimeout))
		require.NoError(t, o.call(limiter.Renewal, "/hold", callTimeout))
		hung.Wait()
	})
}

// TestAbandonedConnectionsCount guards against connections that were closed for want of a response and stay open at the server without
// being counted.
func TestAbandonedConnectionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 20 * time.Millisecond
		server := startServer(t)
		o := newOwner(t, server)
		for range 10 {
			require.Error(t, o.call(limiter.Order, hangPath, timeout))
		}
		tally := o.pool.Tally()
		require.Equal(t, limiter.KeptConnections, tally.Abandoned)
		require.Equal(t, tally.Abandoned, tally.Left)
	})
}

// TestRefusedConnectionsAreTold guards against an owner whose log and metrics do not tell that a server resets its connections.
func TestRefusedConnectionsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t)
		var others []net.Conn
		for range maxConnections {
			conn, err := server.dial(t.Context(), "tcp", serverAddress)
			require.NoError(t, err)
			others = append(others, conn)
		}
		var log bytes.Buffer
		counted := meter.New()
		o := newOwner(t, server, connector.WithLogger(slog.New(slog.NewTextHandler(&log, nil))), connector.WithMeter(counted))
		for range 3 {
			require.ErrorIs(t, o.call(limiter.Renewal, "/hold", callTimeout), connector.ErrRefused)
		}
		tally := o.pool.Tally()
		require.Equal(t, 3, tally.Refused)
		require.Equal(t, 1, tally.Refusing)
		require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("backend server resets new connections")), "only the first reset is logged")
		for _, conn := range others {
			require.NoError(t, conn.Close())
		}
		synctest.Wait()
		require.NoError(t, o.call(limiter.Renewal, "/hold", callTimeout))
		require.Contains(t, log.String(), "backend server accepts connections again")
		require.Zero(t, o.pool.Tally().Refusing)
	})
}

func TestCallWithoutReservationFails(t *testing.T) {
	_, err := (&http.Client{Transport: connector.Transport{}}).Get("http://127.0.0.1:1/")
	require.ErrorIs(t, err, connector.ErrNotReserved)
}
