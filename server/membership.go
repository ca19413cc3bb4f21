package server

import (
	"context"
	"sync/atomic"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/registrar"
)

// inspectTimeout limits the wait for the goroutine of the request path when its state is read.
const inspectTimeout = 200 * time.Millisecond

// membership connects the registrar with the request path.
type membership struct {
	daemon *Daemon
	// registrar is nil until join has created it. The registrar calls hooks of this type before that.
	registrar atomic.Pointer[registrar.Registrar]
	// applied is the version of the newest shares that the request path has applied.
	applied atomic.Uint64
	leaving leavingSet
	limits  connectionLimits
	// capacity is the capacity of a backend server by the services of the configuration in force.
	capacity capacityRollout
	homes    homeAssigner
}

func (m *membership) options() []registrar.Option {
	d := m.daemon
	return []registrar.Option{
		registrar.WithLogger(d.logger),
		registrar.WithLoad(m.load),
		registrar.WithAppliedTicket(m.appliedTicket),
		registrar.WithBusySlots(m.busy),
		registrar.WithLeavingServers(m.leaving.list),
		registrar.WithTickets(m.ticketsForPeer),
		// No work may start before the configuration states the capacity.
		registrar.WithCapacity(0, 0),
		registrar.WithReport(m.reportForPeer),
		registrar.WithUsage(m.usage),
		registrar.WithShares(m.changeShares),
		registrar.WithPeers(m.reportPeers),
	}
}

// changeShares passes new shares to the request path. It does not wait until they are applied, because the registrar
// requires that its hooks return without waiting; the request path applies its events in order.
func (m *membership) changeShares(shares registrar.Shares) {
	d := m.daemon
	owned := 0
	for _, share := range shares.Changed.Shares {
		owned += share.Slots
	}
	d.meter.Set(meter.SlotsOwned, int64(owned))
	m.limitConnections(shares)
	d.runner.NotifyThen(shares.Changed, func() {
		m.applied.Store(shares.Version)
		d.updateServing()
	})
	m.assignHomes()
}

// limitConnections limits the connections to each backend server to its share. It is called when the shares change and
// when the addresses do, because the first shares can come before the addresses.
func (m *membership) limitConnections(shares registrar.Shares) {
	newest := func() []dispatcher.Share {
		if member := m.registrar.Load(); member != nil {
			shares = member.Shares()
		}
		return shares.Changed.Shares
	}
	m.limits.apply(newest, m.daemon.directory, m.daemon.exchanger)
}

// busy counts the occupied slots. When the request path does not respond in time, the result carries no version of the
// shares, so that no slot is released.
func (m *membership) busy() assigner.BusyChanged {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var changed assigner.BusyChanged
	err := m.daemon.runner.Inspect(ctx, func() {
		counted := assigner.BusyChanged{Shares: m.applied.Load()}
		for _, busy := range m.daemon.dispatcher.BusyServers() {
			counted.Busy = append(counted.Busy, assigner.ServerBusy(busy))
		}
		changed = counted
	})
	if err != nil {
		return assigner.BusyChanged{}
	}
	return changed
}

func (m *membership) appliedTicket() int64 {
	state, err := m.daemon.distributor.State()
	if err != nil {
		return 0
	}
	return state.Applied()
}

func (m *membership) ticketsForPeer(
	ctx context.Context, request messenger.TicketsRequest,
) (messenger.TicketsReply, error) {
	batch, err := m.daemon.distributor.Tickets(ctx, request.After)
	if err != nil {
		return messenger.TicketsReply{}, err
	}
	return encodeBatch(batch)
}

func (m *membership) load() registrar.Load {
	if m.daemon.draining.Load() {
		return registrar.Load{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var load registrar.Load
	_ = m.daemon.runner.Inspect(ctx, func() {
		current := m.daemon.dispatcher.Load()
		load = registrar.Load{FreeSlots: current.FreeSlots, Queued: current.Queued}
	})
	return load
}

func (m *membership) usage(ctx context.Context, server describer.BackendServer) (assigner.UsageReported, error) {
	report, err := m.daemon.usage(ctx, server)
	return assigner.UsageReported{
		BackendServer: server.ID, SampledAt: report.SampledAt, BusySlots: report.BusySlots,
	}, err
}

func (m *membership) reportPeers(peers dispatcher.PeersReported) {
	d := m.daemon
	d.meter.Set(meter.PeersReachable, int64(len(peers.Loads)))
	d.runner.Notify(peers)
	member := m.registrar.Load()
	if member == nil {
		return
	}
	m.updateGauges(member)
	if leaving := member.LeavingServers(); len(leaving) > 0 {
		d.runner.Notify(dispatcher.BackendServersLeaving{BackendServers: leaving})
	}
	for _, peer := range member.PeerTickets() {
		d.distributor.RecordReportedTicket(peer.AppliedTicket)
	}
	if state, err := d.distributor.State(); err == nil {
		m.updateCapacity(state)
	}
	m.assignHomes()
}

// updateGauges sets the gauges of the membership.
func (m *membership) updateGauges(member *registrar.Registrar) {
	ownership := member.Ownership()
	reachable := int64(0)
	if ownership.StoreReachable {
		reachable = 1
	}
	m.daemon.meter.Set(meter.StoreReachable, reachable)
	m.daemon.meter.Set(meter.AssignmentEpoch, int64(ownership.Epoch))
	m.daemon.meter.Set(meter.EventsWaiting, int64(m.daemon.runner.Waiting()))
}

// leave releases the positions of this instance.
func (m *membership) leave(ctx context.Context) error {
	return m.registrar.Load().Leave(ctx)
}

// close stops the registrar without releasing the positions.
func (m *membership) close() error {
	if member := m.registrar.Load(); member != nil {
		return member.Close()
	}
	return nil
}

// assignHomes updates the homes of idempotency keys from the current assignment.
func (m *membership) assignHomes() {
	if member := m.registrar.Load(); member != nil {
		m.homes.assign(time.Now(), member.Owner(), member.Assignment())
	}
}

// mayStart reports whether this instance has the right to start work.
func (m *membership) mayStart(time.Time) bool {
	member := m.registrar.Load()
	return member != nil && member.MayStart() && !m.isDeclaredDead(member.Owner())
}

// peerSources returns the live peers as sources of tickets.
func (m *membership) peerSources() []distributor.PeerSource {
	member := m.registrar.Load()
	if member == nil {
		return nil
	}
	var sources []distributor.PeerSource
	for _, peer := range member.PeerTickets() {
		sources = append(sources, peerSource{client: m.daemon.messages, address: peer.Address})
	}
	return sources
}

// zonePeer returns a live entry instance of another zone.
func (m *membership) zonePeer(zone describer.AvailabilityZoneID) (describer.InstanceID, bool) {
	member := m.registrar.Load()
	if member == nil {
		return "", false
	}
	for _, peer := range member.PeerTickets() {
		if peer.AvailabilityZone == zone {
			return peer.Instance, true
		}
	}
	return "", false
}
