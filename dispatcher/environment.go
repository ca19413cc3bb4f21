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

func (d *Dispatcher) recordCapacity(now time.Time) {
	if capacity := d.picker.Capacity(); capacity > 0 {
		d.lastCapacity = capacity
		d.lastCapacityAt = now
	}
}

// effectiveCapacity returns the current capacity. If it is zero, the last capacity is returned during capacityGrace, so
// that a short change of shares does not refuse requests.
func (d *Dispatcher) effectiveCapacity(now time.Time) int {
	if capacity := d.picker.Capacity(); capacity > 0 {
		return capacity
	}
	if !d.lastCapacityAt.IsZero() && now.Sub(d.lastCapacityAt) < capacityGrace {
		return d.lastCapacity
	}
	return 0
}
