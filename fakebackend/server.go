package fakebackend

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// Server is a backend server that runs in real time. It implements forwarder.TaskServer and is safe for concurrent use.
type Server struct {
	mu    sync.Mutex
	state *State
}

var _ forwarder.TaskServer = (*Server)(nil)

// New returns an idle backend server.
func New(id describer.BackendServerID, options ...Option) *Server {
	return &Server{state: NewState(id, options...)}
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetFaults(time.Now(), faults)
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Counters()
}

// Excesses returns the first excesses in the order of their times.
func (s *Server) Excesses() []Excess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.state.Excesses())
}

// Ledger returns the ledger in which the server records the requests and tasks that it runs.
func (s *Server) Ledger() *Ledger {
	return s.state.ledger
}

// Usage implements forwarder.TaskServer.
func (s *Server) Usage(context.Context) (forwarder.UsageReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.UsageReport(time.Now()), nil
}

// Start implements forwarder.TaskServer.
func (s *Server) Start(_ context.Context, call forwarder.StartCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.StartTask(time.Now(), call)
}

// Renew implements forwarder.TaskServer.
func (s *Server) Renew(_ context.Context, call forwarder.RenewCall) (forwarder.RenewReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.RenewTasks(time.Now(), call)
}

// Stop implements forwarder.TaskServer.
func (s *Server) Stop(_ context.Context, call forwarder.TaskCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.StopTask(time.Now(), call)
}

// Checkpoint implements forwarder.TaskServer.
func (s *Server) Checkpoint(_ context.Context, call forwarder.TaskCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CheckpointTask(time.Now(), call)
}

// Throttle implements forwarder.TaskServer.
func (s *Server) Throttle(_ context.Context, call forwarder.TaskCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ThrottleTask(time.Now(), call)
}

func (s *Server) begin(request Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Begin(time.Now(), request)
}

func (s *Server) end(run RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.End(time.Now(), run)
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.faults.Mode == Leaving
}

func (s *Server) updateCounters(apply func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(&s.state.counters)
}
