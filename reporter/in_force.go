package reporter

import (
	"context"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// InForce reports where a ticket is in force.
func (r *Reporter) InForce(ctx context.Context, number int64) (InForceView, error) {
	state, err := r.configuration.State()
	if err != nil {
		return InForceView{}, err
	}
	if number > state.Applied() {
		return InForceView{}, classifier.New(classifier.NotFound,
			"ticket %d is not known here; the last ticket is %d", number, state.Applied())
	}
	instances, err := r.readInstances(ctx)
	if err != nil {
		return InForceView{}, err
	}
	zones, err := r.Zones(ctx)
	if err != nil {
		return InForceView{}, err
	}
	return inForce(number, instances, zones), nil
}

func inForce(number int64, instances []InstanceView, zones []ZoneView) InForceView {
	view := InForceView{Number: number, Behind: []InstanceView{}, SilentZones: []describer.AvailabilityZoneID{}}
	for _, instance := range instances {
		if !instance.Live {
			continue
		}
		view.Live++
		if instance.AppliedTicket >= number {
			view.Applied++
			continue
		}
		view.Behind = append(view.Behind, instance)
	}
	for _, zone := range zones {
		if !zone.Reporting {
			view.SilentZones = append(view.SilentZones, zone.AvailabilityZone)
		}
	}
	view.InForce = len(view.Behind) == 0 && len(view.SilentZones) == 0
	return view
}

func (r *Reporter) readInstances(ctx context.Context) ([]InstanceView, error) {
	if r.instances == nil {
		return []InstanceView{}, nil
	}
	return r.instances.Instances(ctx)
}
