package dispatcher

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/picker"
)

func (d *Dispatcher) setShares(shares []Share) {
	picked := make([]picker.Share, len(shares))
	for i, share := range shares {
		picked[i] = picker.Share(share)
	}
	d.picker.SetShares(picked)
}

func (d *Dispatcher) setServices(services []describer.Service) {
	d.services = make(map[describer.ServiceID]describer.Service, len(services))
	for _, service := range services {
		d.services[service.ID] = service
	}
	d.estimator.SetServices(services)
	d.admitter.SetServices(services)
	d.retrier.SetServices(services)
	d.queue.Prune()
}

func (d *Dispatcher) markLeaving(now time.Time, servers []describer.BackendServerID) {
	for _, id := range servers {
		d.picker.MarkLeaving(now, id)
	}
}

func (d *Dispatcher) noteCapacity(now time.Time) {
	if capacity := d.picker.Capacity(); capacity > 0 {
		d.capacity = capacity
		d.capacityAt = now
	}
}

// slots returns the capacity to reckon with; a short time without any keeps the earlier one.
func (d *Dispatcher) slots(now time.Time) int {
	if capacity := d.picker.Capacity(); capacity > 0 {
		return capacity
	}
	if !d.capacityAt.IsZero() && now.Sub(d.capacityAt) < capacityGrace {
		return d.capacity
	}
	return 0
}
