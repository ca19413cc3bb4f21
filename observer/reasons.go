package observer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
)

// Reasons implements reporter.ReasonSource for services, backend servers, instances and recent requests.
func (o *Observer) Reasons(ctx context.Context, object string) ([]reporter.Reason, error) {
	current := o.fetch(ctx, object)
	reasons := o.configuredReasons(object)
	reasons = append(reasons, o.listedReasons(object)...)
	reasons = append(reasons, instanceReasons(current, describer.InstanceID(object))...)
	for _, report := range current.reports {
		for _, reason := range report.Reasons {
			reason.Text = fmt.Sprintf("instance %s: %s", report.Instance.Instance, reason.Text)
			reasons = append(reasons, reason)
		}
	}
	slices.SortStableFunc(reasons, func(x, y reporter.Reason) int {
		return cmp.Or(cmp.Compare(x.About, y.About), x.At.Compare(y.At))
	})
	return reasons, nil
}

// localReasons explains an object from the report and the recent requests of this instance.
func (o *Observer) localReasons(report Report, object string) []reporter.Reason {
	now := time.Now().UTC()
	reasons := o.RecentRequests.Reasons(object)
	for _, load := range report.Services {
		if string(load.Service) == object {
			reasons = append(reasons, reporter.Reason{About: "Service " + object, At: now, Text: fmt.Sprintf(
				"%d requests in progress; queued: %d Urgent, %d Standard, %d Deferrable; %d free slots",
				load.InProgress, load.Queued[describer.Urgent], load.Queued[describer.Standard],
				load.Queued[describer.Deferrable], report.Instance.FreeSlots)})
		}
	}
	for _, server := range report.Servers {
		if string(server.BackendServer) == object {
			reasons = append(reasons, reporter.Reason{About: "BackendServer " + object, At: now, Text: serverText(server)})
		}
	}
	return reasons
}

func serverText(server ServerReport) string {
	text := fmt.Sprintf("%d of %d owned slots are busy", server.BusySlots, server.OwnedSlots)
	if server.HeldSlots > 0 {
		text += fmt.Sprintf(", %d of them held for requests that may still run", server.HeldSlots)
	}
	if server.Ejected {
		text += "; ejected after failures or being probed"
	}
	if server.Failures > 0 {
		text += fmt.Sprintf("; %d failures in a row", server.Failures)
	}
	if server.Leaving {
		text += "; announced that it is leaving"
	}
	return text
}

// configuredReasons explains an object from the configuration in force.
func (o *Observer) configuredReasons(object string) []reporter.Reason {
	state, err := o.sources.Configuration.State()
	if err != nil {
		return nil
	}
	now := time.Now().UTC()
	var reasons []reporter.Reason
	if service, ok := state.Service(describer.ServiceID(object)); ok {
		reasons = append(reasons, reporter.Reason{About: "Service " + object, At: now, Text: fmt.Sprintf(
			"configured with %d slots and %d connections on each backend server and %d queued requests of each class",
			service.SlotsPerBackendServer, service.ConnectionsPerBackendServer, service.QueueLimit)})
	}
	for _, drained := range state.DrainedServers() {
		if string(drained.BackendServer) == object {
			reasons = append(reasons, reporter.Reason{
				About: "BackendServer " + object, At: now, Text: "drained by ticket: " + drained.Reason,
			})
		}
	}
	for _, dead := range state.DeadInstances() {
		if string(dead.Instance) == object {
			reasons = append(reasons, reporter.Reason{About: "Instance " + object, At: now, Text: fmt.Sprintf(
				"declared dead by ticket up to incarnation %d: %s", dead.Incarnation, dead.Reason)})
		}
	}
	return reasons
}

// listedReasons explains a backend server from the instance list.
func (o *Observer) listedReasons(object string) []reporter.Reason {
	listing, at := o.sources.Listing()
	var reasons []reporter.Reason
	for _, server := range listing.BackendServers {
		if string(server.ID) != object {
			continue
		}
		reasons = append(reasons, reporter.Reason{About: "BackendServer " + object, At: at.UTC(), Text: fmt.Sprintf(
			"instance list: %s in zone %s, rack %s", server.State, server.AvailabilityZone, server.Rack)})
	}
	return reasons
}

func instanceReasons(current snapshot, id describer.InstanceID) []reporter.Reason {
	var reasons []reporter.Reason
	for _, view := range current.instances {
		if view.Instance != id {
			continue
		}
		reason := reporter.Reason{About: "Instance " + string(id), At: view.LastHeard}
		reason.Text = "gives no answer and sent no heartbeat a short time ago; it may be stopped, paused or partitioned"
		if view.Live {
			reason.Text = fmt.Sprintf("live with incarnation %d, epoch %d, ticket %d, %d free slots, store reachable: %t",
				view.Incarnation, view.Epoch, view.AppliedTicket, view.FreeSlots, view.StoreReachable)
		}
		reasons = append(reasons, reason)
	}
	return reasons
}
