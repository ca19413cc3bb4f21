package printer

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"egretring.example/egretring/distributor"
	"egretring.example/egretring/reporter"
)

// Status writes the state of the cell: the configuration at the instance that sent the view, the instances and the
// zones.
func Status(w io.Writer, view reporter.StatusView) error {
	configuration := view.Configuration
	_, err := fmt.Fprintf(w, "instance %s: ticket %d applied; %s\n",
		textOf(view.Instance), configuration.Applied, storeText(configuration.Store))
	if err != nil {
		return errors.Wrap(err, "write status")
	}
	for _, waiting := range configuration.Waiting {
		fmt.Fprintf(w, "ticket %s waits since %s\n", waiting.ID, textOf(waiting.Since))
	}
	if err := Instances(w, view.Instances); err != nil {
		return err
	}
	return Zones(w, view.Zones)
}

func storeText(status distributor.StoreStatus) string {
	switch {
	case !status.Reachable:
		return "configuration store unreachable since " + textOf(status.Since)
	case status.Slow:
		return "configuration store slow since " + textOf(status.Since)
	default:
		return "configuration store reachable"
	}
}

// Instances writes the entry instances.
func Instances(w io.Writer, views []reporter.InstanceView) error {
	t := newTable(w, "INSTANCE", "ZONE", "LIVE", "TICKET", "EPOCH", "STORE", "FREE-SLOTS", "QUEUED", "HEARD")
	for _, v := range views {
		t.row(v.Instance, v.AvailabilityZone, v.Live, v.AppliedTicket, v.Epoch, v.StoreReachable,
			v.FreeSlots, classCounts(v.Queued), v.LastHeard)
	}
	return t.flush()
}

// Zones writes the availability zones.
func Zones(w io.Writer, views []reporter.ZoneView) error {
	t := newTable(w, "ZONE", "REPORTING", "DRAINED", "EPOCH", "MEMBERS", "HOLD", "WORKERS", "BUSY-SLOTS", "SLOTS")
	for _, v := range views {
		t.row(v.AvailabilityZone, v.Reporting, v.Drained, v.Epoch, v.Members, v.HoldAgreement, v.Servers,
			v.BusySlots, v.Slots)
	}
	return t.flush()
}

// Servers writes the backend servers.
func Servers(w io.Writer, views []reporter.ServerView) error {
	t := newTable(w, "WORKER", "ZONE", "RACK", "STATE", "DRAINED", "EJECTED", "BUSY-SLOTS", "SLOTS", "USED", "CAPACITY",
		"SAMPLED")
	for _, v := range views {
		t.row(v.BackendServer, v.AvailabilityZone, v.Rack, v.State, v.Drained, v.Ejected, v.BusySlots, v.Slots,
			v.Used, v.Capacity, v.SampledAt)
	}
	return t.flush()
}

// classCounts returns the counts of all classes as one text, most urgent first.
func classCounts(counts [3]int) string {
	return fmt.Sprintf("%d/%d/%d", counts[0], counts[1], counts[2])
}
