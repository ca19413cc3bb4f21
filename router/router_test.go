package router_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/router"
	"egretring.example/egretring/runner"
)

// onceCase is one case of testdata/once.json.
type onceCase struct {
	Name       string
	Home       string
	Key        string
	Attempt    int
	Attempts   int
	RelayedBy  describer.InstanceID
	Registered bool
	// Run is the error kind of each run; it is empty for a run that succeeds.
	Run      string
	Relay    string
	PeerKind string

	WantRuns     int
	WantRelays   int
	WantStatus   int
	WantReplayed bool
	WantKind     string
}

// fakePath stands in for the runner, the exchanger and the services of one case.
type fakePath struct {
	onceCase
	runs   int
	relays int
}

func (f *fakePath) Run(ctx context.Context, _ describer.Request, executor runner.Executor) error {
	f.runs++
	if f.onceCase.Run != "" {
		kind, _ := classifier.ParseKind(f.onceCase.Run)
		return classifier.New(kind, "run failed")
	}
	executor.Attempt(ctx, dispatcher.StartAttempt{BackendServer: "server"})
	return nil
}

func (f *fakePath) Exchange(_ context.Context, options forwarder.ExchangeOptions) forwarder.Result {
	if options.RelayedBy == "" {
		options.Writer.WriteHeader(http.StatusOK)
		return forwarder.Result{Evidence: describer.Answered, ResponseStarted: true}
	}
	f.relays++
	evidence := map[string]describer.Evidence{
		"Answered": describer.Answered, "Refused": describer.Refused, "NotSent": describer.NotSent, "Broken": describer.Broken,
	}[f.Relay]
	if evidence == describer.Answered {
		options.Writer.WriteHeader(http.StatusOK)
	}
	kind, _ := classifier.ParseKind(f.PeerKind)
	return forwarder.Result{Evidence: evidence, Peer: forwarder.PeerRefusal{Kind: kind}}
}

func (f *fakePath) Service(id describer.ServiceID) (describer.Service, error) {
	return describer.Service{ID: id}, nil
}

// TestNonRepeatableRequest guards against a key that runs twice, and against the outcome "not run" for a key that may
// have run.
func TestNonRepeatableRequest(t *testing.T) {
	data, err := os.ReadFile("testdata/once.json")
	require.NoError(t, err)
	var cases []onceCase
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { runOnceCase(t, c) })
	}
}

func runOnceCase(t *testing.T, c onceCase) {
	path := &fakePath{onceCase: c}
	subject := newRouter(path)
	if c.Key == "" {
		c.Key = map[string]string{"Self": "zone-a:1", "Peer": "zone-b:1", "NoZone": "zone-c:1"}[c.Home]
	}
	var recorder *httptest.ResponseRecorder
	var err error
	for range max(1, c.Attempts) {
		recorder = httptest.NewRecorder()
		err = subject.Route(t.Context(), router.Call{
			Request:   describer.Request{IdempotencyKey: c.Key},
			Attempt:   c.Attempt,
			RelayedBy: c.RelayedBy, Registered: c.Registered,
		}, recorder)
	}
	require.Equal(t, c.WantRuns, path.runs)
	require.Equal(t, c.WantRelays, path.relays)
	require.Equal(t, c.WantReplayed, recorder.Header().Get(router.HeaderReplayed) != "")
	if c.WantKind != "" {
		require.Equal(t, c.WantKind, classifier.KindOf(err).String(), "%v", err)
		return
	}
	require.NoError(t, err)
	require.Equal(t, c.WantStatus, recorder.Code)
}

func newRouter(path *fakePath) *router.Router {
	directory := router.NewDirectory()
	directory.SetServers([]describer.BackendServer{{ID: "server"}})
	directory.SetPeers([]describer.Instance{
		{ID: "peer", AvailabilityZone: "zone-a"}, {ID: "far", AvailabilityZone: "zone-b"},
	})
	zones := []describer.AvailabilityZoneID{"zone-a", "zone-b", "zone-c"}
	homes := router.NewHomes("self", "zone-a", zones, deduplicator.New(),
		func(zone describer.AvailabilityZoneID) (describer.InstanceID, bool) { return "far", zone == "zone-b" })
	homes.Assign(time.Now().Add(-time.Hour), router.Assignment{
		Placements: []deduplicator.Placement{{Zones: zones, Zone: "zone-a", Positions: 1, Held: []int{0}}},
		Positions:  []describer.InstanceID{"self"},
	})
	return router.New("self", path, path, path, directory, router.WithHomes(homes))
}
