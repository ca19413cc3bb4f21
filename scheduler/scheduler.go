package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/ticketer"
)

// Membership is this instance's part in its zone; *registrar.Registrar is one.
type Membership interface {
	Assignment() assigner.Assignment
	Owner() assigner.Owner
	Right() assigner.Right
}

var _ Membership = (*registrar.Registrar)(nil)

// Configuration holds the configuration state in force; *distributor.Distributor is one.
type Configuration interface {
	State() (ticketer.State, error)
}

// Connect returns the task calls of a backend server.
type Connect func(describer.BackendServer) forwarder.TaskServer

// Options are what a scheduler works with.
type Options struct {
	Instance      describer.InstanceID
	Zone          describer.AvailabilityZoneID
	Store         keeper.Store
	Membership    Membership
	Configuration Configuration
	Connect       Connect
	Logger        *slog.Logger
}

// Scheduler is this instance's part in the placing and planning of tasks.
type Scheduler struct {
	Options
	tomb tomb.Tomb

	mu      sync.Mutex
	servers []describer.BackendServer
	// own are the backend servers of the own zone.
	own     []describer.BackendServer
	ownByID map[describer.BackendServerID]describer.BackendServer
	plan    planView
	// planVersion grows with each change of plan and serversVersion with each change of servers.
	planVersion    int
	serversVersion int
	term           *term
}

// New returns a scheduler that does nothing until it is started.
func New(options Options) *Scheduler {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Scheduler{Options: options}
}

// Start starts the goroutines: one that follows the plan, one that places the zone's tasks while it may, and one that
// plans the cell's jobs while it may.
func (s *Scheduler) Start() {
	ctx := s.tomb.Context(context.Background())
	for _, run := range []func(context.Context) error{s.runPlanReader, s.runPlacing, s.runPlanning} {
		s.tomb.Go(func() error { return run(ctx) })
	}
}

// Stop ends the goroutines and waits for them. Running tasks keep running until their leases expire.
func (s *Scheduler) Stop() error {
	if !s.tomb.Alive() {
		return s.tomb.Wait()
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// SetServers replaces the backend servers of all zones; drained ones are to be given as leaving.
func (s *Scheduler) SetServers(servers []describer.BackendServer) {
	var own []describer.BackendServer
	ownByID := make(map[describer.BackendServerID]describer.BackendServer)
	for _, server := range servers {
		if server.AvailabilityZone == s.Zone {
			own = append(own, server)
			ownByID[server.ID] = server
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.servers, servers) {
		return
	}
	s.servers, s.own, s.ownByID = servers, own, ownByID
	s.serversVersion++
}

// allServers returns the backend servers of all zones and the number of their version; zero means none are known yet.
func (s *Scheduler) allServers() (servers []describer.BackendServer, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers, s.serversVersion
}

func (s *Scheduler) zoneServers() (servers []describer.BackendServer, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own, s.serversVersion
}

func (s *Scheduler) zoneServer(id describer.BackendServerID) (describer.BackendServer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.ownByID[id]
	return server, ok
}
