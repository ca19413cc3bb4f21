package server

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/ticketer"
)

// requestsInFlight is more than the 8 slots of the backend server, so that some requests wait in the queue.
const requestsInFlight = 12

// lockedBuffer collects log lines. It is locked because handlers of broken connections may still log after the daemon has
// stopped.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// loadedDaemon is a daemon with requests in flight at a backend server, which responds to them once release is closed.
type loadedDaemon struct {
	daemon   *Daemon
	logs     *lockedBuffer
	release  chan struct{}
	statuses chan int
}

func until(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// newLoadedDaemon starts a daemon and sends it the requests. It returns when all of them have reached the daemon and as
// many as fit have reached the backend server.
func newLoadedDaemon(t *testing.T) *loadedDaemon {
	s := &loadedDaemon{logs: &lockedBuffer{}, release: make(chan struct{}), statuses: make(chan int, requestsInFlight)}
	received := make(chan struct{}, requestsInFlight)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			// This is a usage or task call, not a caller's request; the fake server implements neither.
			http.NotFound(w, r)
			return
		}
		received <- struct{}{}
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(backend.Close)
	list := fakelister.New(lister.Listing{BackendServers: []describer.BackendServer{
		{ID: "s1", AvailabilityZone: "a", Address: backend.Listener.Addr().String(), State: describer.Live},
	}})
	daemon, err := New(loader.Settings{
		Instance: "a1", AvailabilityZone: "a", Zones: []string{"a"}, ListInterval: 100 * time.Millisecond,
		Listeners:       loader.Listeners{Callers: anyPort, Operators: anyPort, Peers: anyPort, Relay: anyPort},
		MaxRequestBytes: 1 << 20, DefaultTimeout: time.Hour, MaxTimeout: time.Hour,
	}, WithStore(fakekeeper.New()), WithList(list), WithSeed(20261204), WithLogger(slog.New(slog.NewJSONHandler(s.logs, nil))))
	require.NoError(t, err)
	s.daemon = daemon
	daemon.Start()
	until(daemon.Configured)
	_, err = daemon.ApplyTicket(t.Context(), ticketer.Ticket{
		ID: "first", Services: map[describer.ServiceID]*describer.Service{"tally": {
			ID: "tally", SlotsPerBackendServer: 8, ConnectionsPerBackendServer: 64, QueueLimit: 100,
			Kinds: map[describer.KindID]describer.Kind{"count": {Class: describer.Urgent, ExpectedMilliseconds: 1}},
		}},
	})
	require.NoError(t, err)
	until(func() bool { return daemon.Ready(1) })
	for range requestsInFlight {
		go s.send()
	}
	for range 8 {
		<-received
	}
	until(func() bool { return daemon.tracked.remaining()["/tally/count"] == requestsInFlight })
	return s
}

// send sends one request and passes on the status of its response, or 0 if there is no response.
func (s *loadedDaemon) send() {
	response, err := http.Get("http://" + s.daemon.Addresses().Callers + "/tally/count")
	if err != nil {
		s.statuses <- 0
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.statuses <- response.StatusCode
}

func (s *loadedDaemon) results() map[int]int {
	results := make(map[int]int)
	for range requestsInFlight {
		results[<-s.statuses]++
	}
	return results
}

// TestDrainWaitsForRequests guards against a graceful stop that interrupts requests in flight or in the queue, and
// against one that continues to accept connections of callers.
func TestDrainWaitsForRequests(t *testing.T) {
	s := newLoadedDaemon(t)
	ended := make(chan error, 1)
	go func() { ended <- s.daemon.Drain(context.Background()) }()
	until(func() bool {
		conn, err := s.daemon.dial(t.Context(), "tcp", s.daemon.Addresses().Callers)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	close(s.release)
	require.Equal(t, map[int]int{http.StatusOK: requestsInFlight}, s.results())
	require.NoError(t, <-ended)
	require.NotContains(t, s.logs.String(), "requests were left in flight")
}

// TestDrainStopsWhenContextEnds guards against a drain that continues after its context has ended, as after a second
// signal, and against one that does not log the requests it interrupts.
func TestDrainStopsWhenContextEnds(t *testing.T) {
	s := newLoadedDaemon(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.daemon.Drain(ctx), context.Canceled)
	require.Zero(t, s.results()[http.StatusOK])
	require.Contains(t, s.logs.String(), `"msg":"requests were left in flight","Requests":{"/tally/count":12}`)
}
