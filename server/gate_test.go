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

// nested routes a second request while the first is in progress.
type nested struct {
	services
	gate *gate
	call router.Call
	last router.Call
	err  error
}

func (n *nested) Route(ctx context.Context, call router.Call, w http.ResponseWriter) error {
	n.last = call
	if call.Path == n.call.Path {
		return nil
	}
	n.err = n.gate.Route(ctx, n.call, w)
	return nil
}

// TestTeamLimit guards against a limit of a ticket that is not applied, against one that is never freed, and against a
// retry that is told "not run" although its key's home was not asked.
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
			inner := &nested{call: router.Call{Path: "/second", Attempt: test.attempt, Request: describer.Request{
				Team: describer.TeamID(test.team), IdempotencyKey: test.key, Repeatable: test.repeatable,
			}}}
			inner.gate = newGate(inner, fixedState{state})
			first := router.Call{Path: "/first", Request: describer.Request{Team: "red"}}
			require.NoError(t, inner.gate.Route(t.Context(), first, httptest.NewRecorder()))
			if test.admitted {
				require.NoError(t, inner.err)
			} else {
				require.Equal(t, test.want, classifier.KindOf(inner.err))
			}
			require.NoError(t, inner.gate.Route(t.Context(), inner.call, httptest.NewRecorder()), "the limit is free again")
		})
	}
}

// TestRoutes guards against a route that does not lead to its service or loses its zones, and against a route that
// hides a service.
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
