package parser

import (
	"github.com/tailscale/hujson"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

func readLimit(r *reader, path, name string, value hujson.Value) ticketer.Limit {
	limit := ticketer.Limit{Team: describer.TeamID(name)}
	r.object(path, value,
		field{"Team", false, r.repeatedName(name)},
		field{"RequestsInProgress", true, func(p string, v hujson.Value) {
			limit.RequestsInProgress = int(r.integer(p, v, 0, maxRequests))
		}},
	)
	return limit
}

func readRoute(r *reader, path, name string, value hujson.Value) ticketer.Route {
	route := ticketer.Route{ID: ticketer.RouteID(name)}
	r.object(path, value,
		field{"ID", false, r.repeatedName(name)},
		field{"Service", true, func(p string, v hujson.Value) {
			route.Service = describer.ServiceID(r.name(p, v, plainName))
		}},
		field{"AvailabilityZones", false, r.zones(&route.AvailabilityZones)},
	)
	return route
}

func readDrainedServer(r *reader, path, name string, value hujson.Value) ticketer.DrainedServer {
	drained := ticketer.DrainedServer{BackendServer: describer.BackendServerID(name)}
	r.object(path, value,
		field{"BackendServer", false, r.repeatedName(name)},
		field{"Reason", false, r.reason(&drained.Reason)},
	)
	return drained
}

func readDrainedZone(r *reader, path, name string, value hujson.Value) ticketer.DrainedZone {
	drained := ticketer.DrainedZone{AvailabilityZone: describer.AvailabilityZoneID(name)}
	r.object(path, value,
		field{"AvailabilityZone", false, r.repeatedName(name)},
		field{"Reason", false, r.reason(&drained.Reason)},
	)
	return drained
}

func readDeadInstance(r *reader, path, name string, value hujson.Value) ticketer.DeadInstance {
	dead := ticketer.DeadInstance{Instance: describer.InstanceID(name)}
	r.object(path, value,
		field{"Instance", false, r.repeatedName(name)},
		field{"Incarnation", true, func(p string, v hujson.Value) {
			dead.Incarnation = describer.Incarnation(r.integer(p, v, 1, maxIncarnation))
		}},
		field{"Reason", false, r.reason(&dead.Reason)},
	)
	return dead
}
