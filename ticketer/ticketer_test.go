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

// limitTicket returns a ticket that sets the limit of a team.
func limitTicket(id string, base int64, team string, requests int) ticketer.Ticket {
	name := describer.TeamID(team)
	limit := &ticketer.Limit{Team: name, RequestsInProgress: requests}
	return ticketer.Ticket{ID: id, Base: base, Limits: map[describer.TeamID]*ticketer.Limit{name: limit}}
}

// TestApplySkipsAndRepeatsNoTicket guards against a ticket that is skipped or applied twice, and against a ticket whose
// application changes the state before it.
func TestApplySkipsAndRepeatsNoTicket(t *testing.T) {
	var empty ticketer.State
	first, err := ticketer.Apply(empty, ticketer.AcceptedTicket{Number: 1, Ticket: limitTicket("a", 0, "red", 3)})
	require.NoError(t, err)
	_, err = ticketer.Apply(first, ticketer.AcceptedTicket{Number: 3, Ticket: limitTicket("b", 0, "red", 4)})
	require.True(t, ticketer.IsErrGap(err))
	again, err := ticketer.Apply(first, ticketer.AcceptedTicket{Number: 1, Ticket: limitTicket("c", 0, "red", 5)})
	require.NoError(t, err)
	require.Empty(t, ticketer.Diff(first, again))
	deletion := ticketer.Ticket{ID: "d", Limits: map[describer.TeamID]*ticketer.Limit{"red": nil}}
	second, err := ticketer.Apply(first, ticketer.AcceptedTicket{Number: 2, Ticket: deletion})
	require.NoError(t, err)
	require.Empty(t, second.Limits())
	require.Len(t, first.Limits(), 1)
	receipt, ok := second.Receipt("a")
	require.True(t, ok)
	require.Equal(t, int64(1), receipt.Number)
}

// TestConflictsNameTicketAndFields guards against a conflict that is missed, or reported without the number of the
// accepted ticket and the fields.
func TestConflictsNameTicketAndFields(t *testing.T) {
	later := []ticketer.AcceptedTicket{
		{Number: 4, Ticket: limitTicket("x", 0, "red", 1)},
		{Number: 5, Ticket: limitTicket("y", 0, "red", 2)},
		{Number: 6, Ticket: limitTicket("z", 0, "blue", 2)},
	}
	conflicts := ticketer.Conflicts(4, limitTicket("a", 4, "red", 7), later)
	require.Equal(t, []ticketer.Conflict{{
		Number: 5,
		Object: ticketer.Object{Section: ticketer.LimitsSection, Name: "red"},
		Fields: []string{"RequestsInProgress"},
	}}, conflicts)
	err := ticketer.ConflictError(4, conflicts)
	require.True(t, classifier.IsErrKind(err, classifier.Conflict))
	require.EqualError(t, err,
		"ticket is based on ticket 4, but ticket 5 changed Limits.red (differing fields: RequestsInProgress)")
	require.Empty(t, ticketer.Conflicts(4, limitTicket("a", 4, "green", 7), later))
}

// TestCheckRefusesRouteToUnknownService guards against a ticket after which a route leads to a service that does not
// exist.
func TestCheckRefusesRouteToUnknownService(t *testing.T) {
	state := ticketer.State{}.WithService("tally", &describer.Service{ID: "tally"})
	route := &ticketer.Route{ID: "count", Service: "tally"}
	ticket := ticketer.Ticket{ID: "a", Routes: map[ticketer.RouteID]*ticketer.Route{"count": route}}
	require.NoError(t, ticketer.Check(state, ticket))
	require.True(t, classifier.IsErrKind(ticketer.Check(ticketer.State{}, ticket), classifier.BadTicket))
	deletion := ticketer.Ticket{ID: "b", Services: map[describer.ServiceID]*describer.Service{"tally": nil}}
	require.Error(t, ticketer.Check(state.WithRoute("count", route), deletion))
}
