package ticketer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/ticketer"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

func limits(id string, base int64, team string, requests int) ticketer.Ticket {
	name := describer.TeamID(team)
	limit := &ticketer.Limit{Team: name, RequestsInProgress: requests}
	return ticketer.Ticket{ID: id, Base: base, Limits: map[describer.TeamID]*ticketer.Limit{name: limit}}
}

// TestApply guards against a ticket that is skipped, applied twice or changes an earlier state.
func TestApply(t *testing.T) {
	var empty ticketer.State
	first, err := ticketer.Apply(empty, ticketer.Numbered{Number: 1, Ticket: limits("a", 0, "red", 3)})
	require.NoError(t, err)
	_, err = ticketer.Apply(first, ticketer.Numbered{Number: 3, Ticket: limits("b", 0, "red", 4)})
	require.True(t, ticketer.IsErrGap(err))
	again, err := ticketer.Apply(first, ticketer.Numbered{Number: 1, Ticket: limits("c", 0, "red", 5)})
	require.NoError(t, err)
	require.Empty(t, ticketer.Diff(first, again))
	deletion := ticketer.Ticket{ID: "d", Limits: map[describer.TeamID]*ticketer.Limit{"red": nil}}
	second, err := ticketer.Apply(first, ticketer.Numbered{Number: 2, Ticket: deletion})
	require.NoError(t, err)
	require.Empty(t, second.Limits())
	require.Len(t, first.Limits(), 1)
	receipt, ok := second.Receipt("a")
	require.True(t, ok)
	require.Equal(t, int64(1), receipt.Number)
}

// TestConflicts guards against a conflict that is missed or reported without the number and the fields.
func TestConflicts(t *testing.T) {
	later := []ticketer.Numbered{
		{Number: 4, Ticket: limits("x", 0, "red", 1)},
		{Number: 5, Ticket: limits("y", 0, "red", 2)},
		{Number: 6, Ticket: limits("z", 0, "blue", 2)},
	}
	collisions := ticketer.Conflicts(4, limits("a", 4, "red", 7), later)
	require.Equal(t, []ticketer.Collision{{
		Number: 5,
		Object: ticketer.Object{Section: ticketer.LimitsSection, Name: "red"},
		Fields: []string{"RequestsInProgress"},
	}}, collisions)
	err := ticketer.ConflictError(4, collisions)
	require.True(t, classifier.IsErrKind(err, classifier.Conflict))
	require.EqualError(t, err,
		"ticket is based on ticket 4, but ticket 5 changed Limits.red (differing fields: RequestsInProgress)")
	require.Empty(t, ticketer.Conflicts(4, limits("a", 4, "green", 7), later))
}

// TestCheckRoutes guards against a route to a service that does not exist.
func TestCheckRoutes(t *testing.T) {
	state := ticketer.State{}.WithService("tally", &describer.Service{ID: "tally"})
	route := &ticketer.Route{ID: "count", Service: "tally"}
	ticket := ticketer.Ticket{ID: "a", Routes: map[ticketer.RouteID]*ticketer.Route{"count": route}}
	require.NoError(t, ticketer.Check(state, ticket))
	require.True(t, classifier.IsErrKind(ticketer.Check(ticketer.State{}, ticket), classifier.BadTicket))
	deletion := ticketer.Ticket{ID: "b", Services: map[describer.ServiceID]*describer.Service{"tally": nil}}
	require.Error(t, ticketer.Check(state.WithRoute("count", route), deletion))
}
