package server

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/router"
	"egretring.example/egretring/ticketer"
)

// gate applies the team limits and the routes in force to the requests of callers and peers.
type gate struct {
	next          handler.RouteService
	configuration configuration

	mu sync.Mutex
	// inProgress counts the requests of the teams with a limit.
	inProgress map[describer.TeamID]int
}

var _ handler.RouteService = (*gate)(nil)

func newGate(next handler.RouteService, configuration configuration) *gate {
	return &gate{next: next, configuration: configuration, inProgress: make(map[describer.TeamID]int)}
}

// Service implements handler.RouteService.
func (g *gate) Service(id describer.ServiceID) (describer.Service, error) {
	return g.next.Service(id)
}

// Route implements handler.RouteService.
func (g *gate) Route(ctx context.Context, call router.Call, w http.ResponseWriter) error {
	state, err := g.configuration.State()
	if err != nil {
		return err
	}
	call.Zones = zonesOf(state, call.Path)
	team := call.Request.Team
	if limit, limited := state.Limit(team); limited {
		if !g.enter(team, limit.RequestsInProgress) {
			return limitError(call, limit)
		}
		defer g.leave(team)
	}
	return g.next.Route(ctx, call, w)
}

// enter counts a request of a team unless the limit is reached.
func (g *gate) enter(team describer.TeamID, limit int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inProgress[team] >= limit {
		return false
	}
	g.inProgress[team]++
	return true
}

func (g *gate) leave(team describer.TeamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[team]--
	if g.inProgress[team] == 0 {
		delete(g.inProgress, team)
	}
}

// limitError refuses a request. The home of a key has not been asked, so that a retry is not told "not run".
func limitError(call router.Call, limit ticketer.Limit) error {
	kind := classifier.LimitReached
	if call.Request.IdempotencyKey != "" && !call.Request.Repeatable {
		kind = deduplicator.KindOutsideHome(kind, call.Attempt)
	}
	return classifier.New(kind, "team %s has reached its limit of %d requests in progress in this instance",
		limit.Team, limit.RequestsInProgress)
}

// zonesOf returns the zones to which the route in a path is restricted; a service takes precedence over a route.
func zonesOf(state ticketer.State, path string) []describer.AvailabilityZoneID {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if _, isService := state.Service(describer.ServiceID(name)); isService {
		return nil
	}
	route, _ := state.Route(ticketer.RouteID(name))
	return route.AvailabilityZones
}
