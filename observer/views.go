package observer

import (
	"cmp"
	"context"
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
)

// Instances implements reporter.InstanceSource.
func (o *Observer) Instances(ctx context.Context) ([]reporter.InstanceView, error) {
	return slices.Clone(o.recentSnapshot(ctx).instances), nil
}

// Zones implements reporter.ZoneSource.
func (o *Observer) Zones(ctx context.Context) ([]reporter.ZoneView, error) {
	current := o.recentSnapshot(ctx)
	servers := o.servers(current)
	views := make([]reporter.ZoneView, 0, len(o.sources.Zones))
	for _, zone := range o.sources.Zones {
		views = append(views, zoneOf(zone, current, servers))
	}
	return views, nil
}

func zoneOf(zone describer.AvailabilityZoneID, current snapshot, servers []reporter.ServerView) reporter.ZoneView {
	view := reporter.ZoneView{AvailabilityZone: zone}
	for _, instance := range current.instances {
		if instance.AvailabilityZone != zone {
			continue
		}
		view.Reporting = view.Reporting || instance.Live
		if instance.LastHeard.After(view.LastHeard) {
			view.LastHeard = instance.LastHeard
		}
		view.Epoch = max(view.Epoch, instance.Epoch)
	}
	for _, report := range current.reports {
		if report.Instance.AvailabilityZone != zone {
			continue
		}
		view.HoldAgreement = view.HoldAgreement || report.HoldAgreement
		if report.Instance.Epoch == view.Epoch {
			view.Members = report.Members
		}
	}
	for _, server := range servers {
		if server.AvailabilityZone != zone || server.State == describer.Gone {
			continue
		}
		view.Servers++
		view.Slots += server.Slots
		view.BusySlots += server.BusySlots
	}
	return view
}

// Servers implements reporter.ServerSource.
func (o *Observer) Servers(ctx context.Context) ([]reporter.ServerView, error) {
	return o.servers(o.recentSnapshot(ctx)), nil
}

// servers combines the instance list with the state of each backend server in the reports.
func (o *Observer) servers(current snapshot) []reporter.ServerView {
	listing, _ := o.sources.Listing()
	views := make(map[describer.BackendServerID]reporter.ServerView, len(listing.BackendServers))
	for _, server := range listing.BackendServers {
		views[server.ID] = reporter.ServerView{
			BackendServer: server.ID, AvailabilityZone: server.AvailabilityZone, Rack: server.Rack, State: server.State,
			Capacity: server.Capacity,
		}
	}
	for _, report := range current.reports {
		for _, server := range report.Servers {
			view, listed := views[server.BackendServer]
			if !listed {
				continue
			}
			view.BusySlots += server.BusySlots
			view.Slots = max(view.Slots, server.Slots)
			view.Connections = max(view.Connections, server.Connections)
			view.Ejected = view.Ejected || server.Ejected
			view.SampledAt = report.Instance.LastHeard
			if server.Leaving && view.State == describer.Live {
				view.State = describer.Leaving
			}
			views[server.BackendServer] = view
		}
	}
	sorted := make([]reporter.ServerView, 0, len(views))
	for _, view := range views {
		sorted = append(sorted, view)
	}
	slices.SortFunc(sorted, func(x, y reporter.ServerView) int {
		return cmp.Compare(x.BackendServer, y.BackendServer)
	})
	return sorted
}

// ServiceLoads implements reporter.ServiceSource.
func (o *Observer) ServiceLoads(ctx context.Context) ([]reporter.ServiceLoad, error) {
	byService := make(map[describer.ServiceID]reporter.ServiceLoad)
	for _, report := range o.recentSnapshot(ctx).reports {
		for _, load := range report.Services {
			sum := byService[load.Service]
			sum.Service = load.Service
			sum.InProgress += load.InProgress
			for class, queued := range load.Queued {
				sum.Queued[class] += queued
			}
			byService[load.Service] = sum
		}
	}
	loads := make([]reporter.ServiceLoad, 0, len(byService))
	for _, load := range byService {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(x, y reporter.ServiceLoad) int { return cmp.Compare(x.Service, y.Service) })
	return loads, nil
}
