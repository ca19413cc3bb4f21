package demonstrator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/fakekeeper"
)

// leavingNotice is the time after a backend server has announced that it is leaving in which it may still get new work.
const leavingNotice = 2 * time.Second

// fault is a change that a demo makes to its cell; at is its time as a share of the demo's duration.
type fault struct {
	at    float64
	text  string
	apply func(d *demo) error
}

// faultSchedule returns the faults of a demo in the order of their times. The zone that is cut off is the last one; the
// instance that is killed belongs to the first one.
func faultSchedule() []fault {
	return []fault{
		{0.15, "an entry instance is killed", (*demo).killEntry},
		{0.25, "a backend server fails everything", (*demo).failServer},
		{0.35, "a backend server is leaving", (*demo).announceLeaving},
		{0.45, "the store is down", func(d *demo) error { return d.setStore(fakekeeper.Faults{Down: true}) }},
		{0.50, "the last zone is cut off", func(d *demo) error { return d.isolate(true) }},
		{0.60, "the store is back, slow, and loses answers", func(d *demo) error {
			return d.setStore(fakekeeper.Faults{Delay: 50 * time.Millisecond, LoseWriteResponses: 3})
		}},
		{0.70, "the last zone is connected again", func(d *demo) error { return d.isolate(false) }},
		{0.75, "the store is healthy", func(d *demo) error { return d.setStore(fakekeeper.Faults{}) }},
		{0.80, "an entry instance starts", (*demo).startEntry},
		{0.85, "an entry instance is stopped gracefully", (*demo).drainEntry},
	}
}

func (d *demo) firstZone() describer.AvailabilityZoneID {
	return d.cell.topology.Zones[0].ID
}

func (d *demo) lastZone() describer.AvailabilityZoneID {
	return d.cell.topology.Zones[len(d.cell.topology.Zones)-1].ID
}

func (d *demo) entryIn(zone describer.AvailabilityZoneID) (*Entry, error) {
	for _, entry := range d.cell.Entries() {
		if entry.Zone == zone {
			return entry, nil
		}
	}
	return nil, errors.Errorf("no entry instance runs in zone %s", zone)
}

func (d *demo) killEntry() error {
	entry, err := d.entryIn(d.firstZone())
	if err != nil {
		return err
	}
	return d.cell.Kill(entry)
}

func (d *demo) failServer() error {
	d.cell.backends[1].SetFaults(fakebackend.Faults{Mode: fakebackend.FailsFast})
	return nil
}

func (d *demo) announceLeaving() error {
	d.leaving = d.cell.backends[2]
	d.leaving.SetFaults(fakebackend.Faults{Mode: fakebackend.Leaving})
	d.cell.setServerState(2, describer.Leaving)
	return nil
}

func (d *demo) setStore(faults fakekeeper.Faults) error {
	d.cell.platform.store.SetFaults(faults)
	return nil
}

func (d *demo) isolate(isolated bool) error {
	d.cell.isolate(d.lastZone(), isolated)
	return nil
}

func (d *demo) startEntry() error {
	_, err := d.cell.StartEntry(d.firstZone(), fmt.Sprintf("%s-entry-new", d.firstZone()))
	d.cell.publish()
	return err
}

// drainEntry gracefully stops an entry instance of the second zone. No request of its callers may be cut off; an error
// of the drain is counted, not returned.
func (d *demo) drainEntry() error {
	entry, err := d.entryIn(d.cell.topology.Zones[1].ID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := d.cell.Drain(ctx, entry); err != nil {
		d.failedDrains.Add(1)
		d.cell.logger.Error("graceful stop failed", "Error", err.Error())
	}
	return nil
}
