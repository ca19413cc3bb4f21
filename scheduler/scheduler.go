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

// Membership is this instance's membership of its zone: the assignment, its own place in it, and its right to start
// work. *registrar.Registrar implements it.
type Membership interface {
	Assignment() assigner.Assignment
	Owner() assigner.Owner
	Right() assigner.Right
}

var _ Membership = (*registrar.Registrar)(nil)

// Configuration holds the configuration state in force. *distributor.Distributor implements it.
type Configuration interface {
	State() (ticketer.State, error)
}

// Connect returns the client for the task calls of a backend server.
type Connect func(describer.BackendServer) forwarder.TaskServer

// Options are the identity of the instance and the dependencies of its scheduler.
type Options struct {
	Instance      describer.InstanceID
	Zone          describer.AvailabilityZoneID
	Store         keeper.Store
	Membership    Membership
	Configuration Configuration
	Connect       Connect
	Logger        *slog.Logger
}

// Scheduler places the tasks of the instance's zone and plans the jobs of the cell, while the instance is the placing
// or the planning member.
type Scheduler struct {
	Options
	tomb tomb.Tomb

	mu      sync.Mutex
	servers []describer.BackendServer
	// own are the backend servers of this instance's zone.
	own     []describer.BackendServer
	ownByID map[describer.BackendServerID]describer.BackendServer
	plan    planView
	// planVersion grows with each change of plan and serversVersion with each change of servers.
	planVersion    int
	serversVersion int
	term           *placingTerm
}

// New returns a scheduler that does nothing until it is started.
func New(options Options) *Scheduler {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Scheduler{Options: options}
}

// Start starts the goroutines: one that reads the plan, one that places the zone's tasks while this instance is the
// placing member, and one that plans the cell's jobs while it is the planning member.
func (s *Scheduler) Start() {
	ctx := s.tomb.Context(context.Background())
	for _, run := range []func(context.Context) error{s.runPlanReader, s.runPlacing, s.runPlanning} {
		s.tomb.Go(func() error { return run(ctx) })
	}
}

// Stop ends the goroutines and waits for them. Tasks keep running on the backend servers until their leases expire.
func (s *Scheduler) Stop() error {
	if !s.tomb.Alive() {
		return s.tomb.Wait()
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// SetServers replaces the backend servers of all zones. The caller passes drained ones with the state Leaving.
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

// allServers returns the backend servers of all zones and their version; version zero means that none are known yet.
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
