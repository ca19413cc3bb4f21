package parser

import (
	"github.com/tailscale/hujson"

	"egretring.example/egretring/describer"
)

func readService(r *reader, path, name string, value hujson.Value) describer.Service {
	service := describer.Service{ID: describer.ServiceID(name)}
	r.object(path, value,
		field{"ID", false, r.repeatedName(name)},
		field{"SlotsPerBackendServer", true, func(p string, v hujson.Value) {
			service.SlotsPerBackendServer = int(r.integer(p, v, 1, maxSlots))
		}},
		field{"ConnectionsPerBackendServer", true, func(p string, v hujson.Value) {
			service.ConnectionsPerBackendServer = int(r.integer(p, v, 1, maxConnections))
		}},
		field{"Kinds", false, func(p string, v hujson.Value) { service.Kinds = readKinds(r, p, v) }},
		field{"QueueLimit", true, func(p string, v hujson.Value) {
			service.QueueLimit = int(r.integer(p, v, 1, maxQueueLimit))
		}},
		field{"TeamLimits", false, func(p string, v hujson.Value) { service.TeamLimits = readTeamLimits(r, p, v) }},
	)
	slots, connections := service.SlotsPerBackendServer, service.ConnectionsPerBackendServer
	if slots > 0 && connections > 0 && connections < slots {
		r.fail(value, join(path, "ConnectionsPerBackendServer"), "is less than SlotsPerBackendServer",
			"at least one connection per slot")
	}
	return service
}

func readKinds(r *reader, path string, value hujson.Value) map[describer.KindID]describer.Kind {
	var kinds map[describer.KindID]describer.Kind
	r.eachMember(path, value, maxKinds, func(name string, key, member hujson.Value) {
		r.checkName(join(path, name), key, name, plainName)
		if kinds == nil {
			kinds = make(map[describer.KindID]describer.Kind)
		}
		kinds[describer.KindID(name)] = readKind(r, join(path, name), member)
	})
	return kinds
}

func readKind(r *reader, path string, value hujson.Value) describer.Kind {
	var kind describer.Kind
	r.object(path, value,
		field{"Class", true, r.class(&kind.Class)},
		field{"Repeatable", false, func(p string, v hujson.Value) { kind.Repeatable = readRepeatable(r, p, v) }},
		field{"ExpectedMilliseconds", false, func(p string, v hujson.Value) {
			kind.ExpectedMilliseconds = r.integer(p, v, 0, maxExpectedMilliseconds)
		}},
	)
	return kind
}

func readRepeatable(r *reader, path string, value hujson.Value) *bool {
	if isNull(value) {
		return nil
	}
	repeatable := r.boolean(path, value)
	return &repeatable
}

func readTeamLimits(r *reader, path string, value hujson.Value) map[describer.TeamID]int {
	var limits map[describer.TeamID]int
	r.eachMember(path, value, maxTeamLimits, func(name string, key, member hujson.Value) {
		r.checkName(join(path, name), key, name, plainName)
		if limits == nil {
			limits = make(map[describer.TeamID]int)
		}
		limits[describer.TeamID(name)] = int(r.integer(join(path, name), member, 0, maxRequests))
	})
	return limits
}
