package router

import (
	"context"
	"slices"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// run runs a request in this zone, or in one of the zones to which its route restricts it. It relays the request to
// another zone only when mayRelay is true, so that two instances with different configurations do not relay it to each
// other without end.
func (r *Router) run(ctx context.Context, e *executor, mayRelay bool) error {
	if len(e.call.Zones) == 0 || r.homes == nil || slices.Contains(e.call.Zones, r.homes.zone) {
		return r.runner.Run(ctx, e.call.Request, e)
	}
	if mayRelay {
		for _, zone := range e.call.Zones {
			if mayHaveRun, err := e.relayToZone(ctx, zone); mayHaveRun {
				return err
			}
		}
	}
	return classifier.New(classifier.NoBackendServer,
		"route to service %s is restricted to zones %v and none of them takes the request", e.call.Request.Service, e.call.Zones)
}

// relayToZone relays a request to an instance of a zone. It returns false when the request was certainly not run there,
// so that another zone may be tried.
func (e *executor) relayToZone(ctx context.Context, zone describer.AvailabilityZoneID) (bool, error) {
	instance, ok := e.router.homes.zonePeer(zone)
	if !ok {
		return false, nil
	}
	outcome, _ := e.relayTo(ctx, instance)
	switch {
	case outcome.Evidence == describer.Answered:
		return true, nil
	case outcome.Evidence.ProvesNotRun():
		return false, nil
	case outcome.Evidence == describer.Failed:
		return true, classifier.New(classifier.BackendFailed, "backend server answered with an error")
	case outcome.Evidence == describer.Truncated:
		return true, classifier.New(classifier.BackendTruncated, "answer ended early")
	}
	return true, classifier.New(classifier.OutcomeUnknown,
		"connection to instance %s was lost after the request was sent", instance)
}
