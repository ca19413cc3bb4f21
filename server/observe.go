package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/observer"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/reporter"
)

// readListing is the instance list with the time at which it was read.
type readListing struct {
	lister.Listing
	at time.Time
}

func newObserver(d *Daemon) *observer.Observer {
	return observer.New(observer.Sources{
		Self:          d.self,
		Zones:         d.membership.homes.zones,
		Configuration: d.distributor,
		Local:         d.membership.localReport,
		FetchReport:   d.fetchReport,
		RecentPeers:   d.membership.recentPeers,
		Listing:       d.lastListing,
	})
}

func (d *Daemon) lastListing() (lister.Listing, time.Time) {
	listing := d.listing.Load()
	if listing == nil {
		return lister.Listing{}, time.Time{}
	}
	return listing.Listing, listing.at
}

// fetchReport requests the report of the peer at an address.
func (d *Daemon) fetchReport(ctx context.Context, address, about string) (observer.Report, error) {
	reply, err := d.reports.Report(ctx, address, messenger.ReportRequest{About: about})
	if err != nil {
		return observer.Report{}, err
	}
	var report observer.Report
	err = json.Unmarshal(reply.Content, &report)
	return report, errors.Wrapf(err, "decode report of peer %s", address)
}

func (m *membership) reportForPeer(
	ctx context.Context, request messenger.ReportRequest,
) (messenger.ReportReply, error) {
	content, err := json.Marshal(m.daemon.observer.Report(ctx, request.About))
	return messenger.ReportReply{Content: content}, errors.Wrap(err, "encode report")
}

// localReport returns the state that this instance observes itself. It lacks the loads of the request path when the
// request path does not respond in time.
func (m *membership) localReport(ctx context.Context) observer.Report {
	d := m.daemon
	report := observer.Report{Instance: reporter.InstanceView{
		Instance: d.self.ID, AvailabilityZone: d.self.AvailabilityZone, Incarnation: d.self.Incarnation,
		OperatorAddress: d.operators.address(), AppliedTicket: m.appliedTicket(),
	}}
	if member := m.registrar.Load(); member != nil {
		ownership := member.Ownership()
		report.Instance.Incarnation = ownership.Incarnation
		report.Instance.Epoch = ownership.Epoch
		report.Instance.StoreReachable = ownership.StoreReachable
		report.HoldAgreement = member.HasHoldAgreement()
		report.Members = len(member.Assignment().Members)
	}
	for _, recent := range m.recentPeers() {
		if recent.Instance.AvailabilityZone == d.self.AvailabilityZone {
			report.Heard = append(report.Heard, recent.Instance)
		}
	}
	m.reportLoad(ctx, &report)
	return report
}

func (m *membership) reportLoad(ctx context.Context, report *observer.Report) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	dispatcher := m.daemon.dispatcher
	// The function runs in the goroutine of the request path. It therefore writes to its own values and passes them on.
	results := make(chan observer.Report, 1)
	err := m.daemon.runner.Inspect(ctx, func() {
		var loaded observer.Report
		load := dispatcher.Load()
		loaded.Instance.FreeSlots, loaded.Instance.Queued = load.FreeSlots, load.Queued
		for _, state := range dispatcher.Servers() {
			loaded.Servers = append(loaded.Servers, observer.ServerReport{
				BackendServer: state.BackendServer, OwnedSlots: state.Slots, BusySlots: state.InUse,
				HeldSlots: state.Held, Ejected: state.Ejected, Failures: state.Failures, Leaving: state.Leaving,
			})
		}
		for _, service := range dispatcher.ServiceLoads() {
			loaded.Services = append(loaded.Services, reporter.ServiceLoad(service))
		}
		results <- loaded
	})
	if err != nil {
		return
	}
	loaded := <-results
	report.Instance.FreeSlots, report.Instance.Queued = loaded.Instance.FreeSlots, loaded.Instance.Queued
	report.Servers, report.Services = loaded.Servers, loaded.Services
	m.addCapacity(report.Servers)
}

// addCapacity sets the capacity per backend server from which the registrar computes the owned slots.
func (m *membership) addCapacity(servers []observer.ServerReport) {
	member := m.registrar.Load()
	if member == nil {
		return
	}
	slots, connections := member.Capacity()
	for i := range servers {
		servers[i].Slots, servers[i].Connections = slots, connections
	}
}

// recentPeers returns the peers that sent a heartbeat recently.
func (m *membership) recentPeers() []observer.RecentPeer {
	member := m.registrar.Load()
	if member == nil {
		return nil
	}
	var all []observer.RecentPeer
	for _, peer := range member.RecentHeartbeats() {
		all = append(all, observer.RecentPeer{PeerAddress: peer.Heartbeat.Address, Instance: viewOf(peer)})
	}
	return all
}

func viewOf(peer registrar.PeerHeartbeat) reporter.InstanceView {
	return reporter.InstanceView{
		Instance:         peer.Heartbeat.Instance,
		AvailabilityZone: peer.Heartbeat.AvailabilityZone,
		Incarnation:      peer.Heartbeat.Incarnation,
		Live:             true,
		LastHeard:        peer.At.UTC(),
		Epoch:            describer.Epoch(peer.Heartbeat.Epoch),
		AppliedTicket:    peer.Heartbeat.AppliedTicket,
		StoreReachable:   peer.Heartbeat.StoreReachable,
		FreeSlots:        peer.Heartbeat.FreeSlots,
		Queued:           peer.Heartbeat.Queued,
	}
}
