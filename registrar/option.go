package registrar

import (
	"context"
	"log/slog"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/messenger"
)

// Load is the load of this instance that its heartbeats report.
type Load struct {
	FreeSlots int
	Queued    [describer.ClassCount]int
}

// Shares is what the request path may use. The hook of WithBusySlots must return the Version of the newest shares that
// the request path has applied.
type Shares struct {
	Version uint64
	Changed dispatcher.SharesChanged
}

// Option configures a Registrar.
type Option func(*hooks)

type hooks struct {
	load           func() Load
	appliedTicket  func() int64
	busy           func() assigner.BusyChanged
	leavingServers func() []describer.BackendServerID
	tickets        func(context.Context, messenger.TicketsRequest) (messenger.TicketsReply, error)
	report         func(context.Context, messenger.ReportRequest) (messenger.ReportReply, error)
	usage          func(context.Context, describer.BackendServer) (assigner.UsageReported, error)
	shares         func(Shares)
	peers          func(dispatcher.PeersReported)
	servers        func([]describer.BackendServer)
	slots          int
	connections    int
	logger         *slog.Logger
}

// WithLoad supplies the load that heartbeats report.
func WithLoad(load func() Load) Option {
	return func(h *hooks) { h.load = load }
}

// WithAppliedTicket supplies the number of the newest ticket in force, which heartbeats report.
func WithAppliedTicket(applied func() int64) Option {
	return func(h *hooks) { h.appliedTicket = applied }
}

// WithBusySlots supplies the occupied slots of this instance and the version of the shares that the request path had
// applied before it counted them. Without it, no slot is ever occupied and new shares count as applied immediately.
func WithBusySlots(busy func() assigner.BusyChanged) Option {
	return func(h *hooks) { h.busy = busy }
}

// WithLeavingServers supplies the backend servers that this instance knows to be leaving.
func WithLeavingServers(leaving func() []describer.BackendServerID) Option {
	return func(h *hooks) { h.leavingServers = leaving }
}

// WithTickets supplies the response to a peer that requests tickets.
func WithTickets(tickets func(context.Context, messenger.TicketsRequest) (messenger.TicketsReply, error)) Option {
	return func(h *hooks) { h.tickets = tickets }
}

// WithReport supplies the response to a peer that requests a report.
func WithReport(report func(context.Context, messenger.ReportRequest) (messenger.ReportReply, error)) Option {
	return func(h *hooks) { h.report = report }
}

// WithUsage supplies the usage reports of backend servers, which end a quarantine.
func WithUsage(usage func(context.Context, describer.BackendServer) (assigner.UsageReported, error)) Option {
	return func(h *hooks) { h.usage = usage }
}

// WithShares sets a hook that receives each change of the shares. It must not block.
func WithShares(shares func(Shares)) Option {
	return func(h *hooks) { h.shares = shares }
}

// WithPeers sets a hook that receives the loads of the peers after each round of heartbeats. It must not block.
func WithPeers(peers func(dispatcher.PeersReported)) Option {
	return func(h *hooks) { h.peers = peers }
}

// WithBackendServers sets a hook that receives the zone's backend servers when a read of the instance list shows a
// change. It must not block.
func WithBackendServers(servers func([]describer.BackendServer)) Option {
	return func(h *hooks) { h.servers = servers }
}

// WithCapacity sets the initial slots and connections of each backend server; the defaults are 8 and 64.
func WithCapacity(slots, connections int) Option {
	return func(h *hooks) { h.slots, h.connections = slots, connections }
}

// WithLogger replaces the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(h *hooks) { h.logger = logger }
}

func newHooks(options []Option) hooks {
	h := hooks{
		load:           func() Load { return Load{} },
		appliedTicket:  func() int64 { return 0 },
		leavingServers: func() []describer.BackendServerID { return nil },
		tickets: func(context.Context, messenger.TicketsRequest) (messenger.TicketsReply, error) {
			return messenger.TicketsReply{}, nil
		},
		report: func(context.Context, messenger.ReportRequest) (messenger.ReportReply, error) {
			return messenger.ReportReply{}, nil
		},
		shares:      func(Shares) {},
		peers:       func(dispatcher.PeersReported) {},
		servers:     func([]describer.BackendServer) {},
		slots:       8,
		connections: 64,
		logger:      slog.Default(),
	}
	for _, option := range options {
		option(&h)
	}
	return h
}
