package dispatcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/picker"
)

var allEvidence = []describer.Evidence{
	describer.Answered, describer.NotSent, describer.Refused, describer.Failed, describer.Truncated, describer.Broken,
	describer.Aborted,
}

// policies are the option sets under which the guarantees are checked.
var policies = []struct {
	name           string
	workConserving bool
	opts           []dispatcher.Option
}{
	{"Default", false, nil},
	{"TwoChoices", false, []dispatcher.Option{dispatcher.WithPickRule(picker.TwoChoices), dispatcher.WithoutRetryBudget()}},
	{"FIFO", true, []dispatcher.Option{dispatcher.WithFIFOBaseline()}},
	{"Priority", true, []dispatcher.Option{dispatcher.WithPriorityBaseline(), dispatcher.WithoutRelays()}},
	{"NoCaps", true, []dispatcher.Option{
		dispatcher.WithoutUrgentReserve(), dispatcher.WithoutLongCap(), dispatcher.WithoutEjection(),
	}},
}

// TestGuarantees checks the promises P1, P4, P5 and P6 and further guarantees of the dispatcher in generated orders of
// events. It guards against starts beyond the share of a server, on a server that accepts no work, after the deadline
// or after a response has started, against a second run of a non-repeatable request, against the outcome "not run" for
// a request that may have run, against a request that ends twice or never, and against slots that stay idle while
// requests wait.
func TestGuarantees(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, policy.workConserving, policy.opts...)
				t.Repeat(actions(m))
				endAll(m)
			})
		})
	}
}

func actions(m *model) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive":  func(t *rapid.T) { m.arrive(drawRequest(t, m.now)) },
		"arrive2": func(t *rapid.T) { m.arrive(drawRequest(t, m.now)) },
		"cancel": func(t *rapid.T) {
			m.handle(dispatcher.RequestCancelled{ID: drawID(t, m, func(*tracked) bool { return true })})
		},
		"end":  func(t *rapid.T) { endRandom(t, m) },
		"end2": func(t *rapid.T) { endRandom(t, m) },
		"fail": func(t *rapid.T) { failRounds(m, rapid.IntRange(1, 8).Draw(t, "rounds")) },
		"shares": func(t *rapid.T) {
			m.changeShares(rapid.SliceOfN(rapid.IntRange(0, 3), 4, 4).Draw(t, "slots"))
		},
		"servers": func(t *rapid.T) {
			state := rapid.SampledFrom([]describer.ServerState{describer.Live, describer.Live, describer.Leaving, describer.Gone})
			m.changeServers(rapid.SliceOfN(state, 4, 4).Draw(t, "states"))
		},
		"leaving": func(t *rapid.T) {
			id := serverID(rapid.IntRange(0, 3).Draw(t, "server"))
			delete(m.takesWork, id)
			m.handle(dispatcher.BackendServersLeaving{BackendServers: []describer.BackendServerID{id}})
		},
		"free": func(t *rapid.T) { m.freeHeld(serverID(rapid.IntRange(0, 3).Draw(t, "server"))) },
		"peers": func(t *rapid.T) {
			free := rapid.SliceOfN(rapid.IntRange(0, 3), 2, 2).Draw(t, "free")
			m.handle(dispatcher.PeersReported{Loads: []dispatcher.PeerLoad{
				{Instance: "far", FreeSlots: free[0]}, {Instance: "near", SameZone: true, FreeSlots: free[1]},
			}})
		},
		"stale": func(t *rapid.T) {
			m.handle(dispatcher.AttemptEnded{ID: m.lastID + 1, Attempt: 1, Evidence: describer.Answered})
			m.handle(dispatcher.RelayEnded{ID: m.lastID + 1, Evidence: describer.Answered})
		},
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "milliseconds")) * time.Millisecond)
		},
	}
}

func drawRequest(t *rapid.T, now time.Time) describer.Request {
	return describer.Request{
		Service:        rapid.SampledFrom([]describer.ServiceID{"tally", "tally", "tally", "tally", "none"}).Draw(t, "service"),
		Kind:           rapid.SampledFrom([]describer.KindID{"count", "merge", "other"}).Draw(t, "kind"),
		Team:           rapid.SampledFrom([]describer.TeamID{"big", "big", "small"}).Draw(t, "team"),
		Class:          rapid.SampledFrom([]describer.Class{describer.Urgent, describer.Standard, describer.Deferrable}).Draw(t, "class"),
		Deadline:       now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond),
		Repeatable:     rapid.Bool().Draw(t, "repeatable"),
		IdempotencyKey: rapid.SampledFrom([]string{"", "key"}).Draw(t, "key"),
		Relayed:        rapid.Bool().Draw(t, "relayed"),
	}
}

func drawID(t *rapid.T, m *model, wanted func(*tracked) bool) describer.RequestID {
	var ids []describer.RequestID
	for _, id := range m.ids {
		if wanted(m.requests[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such request")
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func endRandom(t *rapid.T, m *model) {
	id := drawID(t, m, (*tracked).inFlight)
	evidence := rapid.SampledFrom(allEvidence).Draw(t, "evidence")
	m.endInFlight(id, attemptResult{
		evidence:        evidence,
		responseStarted: evidence == describer.Answered || rapid.IntRange(0, 4).Draw(t, "begun") == 0,
		serverLeaving:   rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		slotHeld:        evidence == describer.Aborted && rapid.Bool().Draw(t, "held"),
	})
}

// failRounds lets all attempts fail immediately for some rounds, so that servers are ejected.
func failRounds(m *model, rounds int) {
	for range rounds {
		for range 4 {
			m.arrive(describer.Request{
				Service: "tally", Kind: "count", Team: "big", Class: describer.Urgent, Deadline: m.now.Add(time.Second),
			})
		}
		for _, id := range append([]describer.RequestID(nil), m.ids...) {
			if r, live := m.requests[id]; live && r.attemptRuns {
				m.endInFlight(id, attemptResult{evidence: describer.Failed})
			}
		}
	}
}

// endAll ends all attempts and relays in flight and advances the time; every request must end within 100 s.
func endAll(m *model) {
	for range 1000 {
		if len(m.ids) == 0 {
			return
		}
		for _, id := range append([]describer.RequestID(nil), m.ids...) {
			if r, live := m.requests[id]; live && r.inFlight() {
				m.endInFlight(id, attemptResult{evidence: describer.Broken})
			}
		}
		m.advance(100 * time.Millisecond)
	}
	m.t.Fatalf("%d requests never end", len(m.ids))
}
