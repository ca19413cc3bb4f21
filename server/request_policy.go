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

// requestPolicy applies the team limits and the zone restrictions of routes to the requests of callers and peers.
type requestPolicy struct {
	next          handler.RouteService
	configuration configuration

	mu sync.Mutex
	// inProgress counts the requests in progress of each team with a limit.
	inProgress map[describer.TeamID]int
}

var _ handler.RouteService = (*requestPolicy)(nil)

func newRequestPolicy(next handler.RouteService, configuration configuration) *requestPolicy {
	return &requestPolicy{next: next, configuration: configuration, inProgress: make(map[describer.TeamID]int)}
}

// Service implements handler.RouteService.
func (p *requestPolicy) Service(id describer.ServiceID) (describer.Service, error) {
	return p.next.Service(id)
}

// Route implements handler.RouteService.
func (p *requestPolicy) Route(ctx context.Context, call router.Call, w http.ResponseWriter) error {
	state, err := p.configuration.State()
	if err != nil {
		return err
	}
	call.Zones = zonesOf(state, call.Path)
	team := call.Request.Team
	if limit, limited := state.Limit(team); limited {
		if !p.beginRequest(team, limit.RequestsInProgress) {
			return limitError(call, limit)
		}
		defer p.endRequest(team)
	}
	return p.next.Route(ctx, call, w)
}

// beginRequest counts a request of a team as in progress. It returns false when the limit is reached.
func (p *requestPolicy) beginRequest(team describer.TeamID, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[team] >= limit {
		return false
	}
	p.inProgress[team]++
	return true
}

func (p *requestPolicy) endRequest(team describer.TeamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress[team]--
	if p.inProgress[team] == 0 {
		delete(p.inProgress, team)
	}
}

// limitError returns the refusal of a request over its team's limit. The home of the request's idempotency key was not
// consulted and an earlier attempt may have run, so a retry does not get the outcome "not run".
func limitError(call router.Call, limit ticketer.Limit) error {
	kind := classifier.LimitReached
	if call.Request.IdempotencyKey != "" && !call.Request.Repeatable {
		kind = deduplicator.KindOutsideHome(kind, call.Attempt)
	}
	return classifier.New(kind, "team %s has reached its limit of %d requests in progress in this instance",
		limit.Team, limit.RequestsInProgress)
}

// zonesOf returns the zones to which the route named in a path is restricted. A service takes precedence over a route of
// the same name and is not restricted.
func zonesOf(state ticketer.State, path string) []describer.AvailabilityZoneID {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if _, isService := state.Service(describer.ServiceID(name)); isService {
		return nil
	}
	route, _ := state.Route(ticketer.RouteID(name))
	return route.AvailabilityZones
}
