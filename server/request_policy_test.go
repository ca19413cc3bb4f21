package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/router"
	"egretring.example/egretring/ticketer"
)

type fixedState struct {
	state ticketer.State
}

func (f fixedState) State() (ticketer.State, error) { return f.state, nil }

// nestedRouter routes a second request while the first is in progress.
type nestedRouter struct {
	services
	policy *requestPolicy
	call   router.Call
	last   router.Call
	err    error
}

func (n *nestedRouter) Route(ctx context.Context, call router.Call, w http.ResponseWriter) error {
	n.last = call
	if call.Path == n.call.Path {
		return nil
	}
	n.err = n.policy.Route(ctx, n.call, w)
	return nil
}

// TestTeamLimit guards against a team limit that is not applied, against one that still counts requests that have ended,
// and against a retry that gets the outcome "not run" although the home of its key was not consulted.
func TestTeamLimit(t *testing.T) {
	state := ticketer.State{}.WithLimit("red", &ticketer.Limit{Team: "red", RequestsInProgress: 1})
	tests := []struct {
		name, team, key string
		attempt         int
		repeatable      bool
		want            classifier.Kind
		admitted        bool
	}{
		{name: "second request", team: "red", want: classifier.LimitReached},
		{name: "other team", team: "blue", admitted: true},
		{name: "first attempt of a key", team: "red", key: "a:1", attempt: 1, want: classifier.LimitReached},
		{name: "retry of a key", team: "red", key: "a:1", attempt: 2, want: classifier.OutcomeUnknown},
		{name: "attempt not stated", team: "red", key: "a:1", want: classifier.OutcomeUnknown},
		{name: "repeatable", team: "red", key: "a:1", attempt: 2, repeatable: true, want: classifier.LimitReached},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inner := &nestedRouter{call: router.Call{Path: "/second", Attempt: test.attempt, Request: describer.Request{
				Team: describer.TeamID(test.team), IdempotencyKey: test.key, Repeatable: test.repeatable,
			}}}
			inner.policy = newRequestPolicy(inner, fixedState{state})
			first := router.Call{Path: "/first", Request: describer.Request{Team: "red"}}
			require.NoError(t, inner.policy.Route(t.Context(), first, httptest.NewRecorder()))
			if test.admitted {
				require.NoError(t, inner.err)
			} else {
				require.Equal(t, test.want, classifier.KindOf(inner.err))
			}
			require.NoError(t, inner.policy.Route(t.Context(), inner.call, httptest.NewRecorder()), "the limit is no longer reached")
		})
	}
}

// TestRoutes guards against a route that does not resolve to its service or loses its zone restriction, and against a
// route that hides a service of the same name.
func TestRoutes(t *testing.T) {
	zones := []describer.AvailabilityZoneID{"b"}
	state := ticketer.State{}.
		WithService("tally", &describer.Service{ID: "tally"}).
		WithService("count", &describer.Service{ID: "count"}).
		WithRoute("old", &ticketer.Route{ID: "old", Service: "tally", AvailabilityZones: zones}).
		WithRoute("count", &ticketer.Route{ID: "count", Service: "tally", AvailabilityZones: zones})
	found := services{fixedState{state}}
	for name, want := range map[describer.ServiceID]describer.ServiceID{"tally": "tally", "old": "tally", "count": "count"} {
		service, err := found.Service(name)
		require.NoError(t, err)
		require.Equal(t, want, service.ID)
	}
	_, err := found.Service("none")
	require.Equal(t, classifier.UnknownService, classifier.KindOf(err))
	require.Equal(t, zones, zonesOf(state, "/old/kind?x=/y"))
	require.Empty(t, zonesOf(state, "/count/kind"))
	require.Empty(t, zonesOf(state, "/tally/kind"))
}
