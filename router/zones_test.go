package router_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/router"
)

// TestRouteZones guards against a request that runs in a zone which its route excludes, against one that instances relay
// to each other without end, and against the outcome "not run" for one that may have run.
func TestRouteZones(t *testing.T) {
	tests := []struct {
		name         string
		zones        []describer.AvailabilityZoneID
		relay        string
		relayedBy    describer.InstanceID
		key          string
		runs, relays int
		want         classifier.Kind
		fails        bool
	}{
		{name: "own zone", zones: []describer.AvailabilityZoneID{"zone-b", "zone-a"}, runs: 1},
		{name: "other zone", zones: []describer.AvailabilityZoneID{"zone-b"}, relay: "Answered", relays: 1},
		{name: "key at home", zones: []describer.AvailabilityZoneID{"zone-b"}, relay: "Answered", key: "zone-a:1", relays: 1},
		{
			name: "unreachable zone", zones: []describer.AvailabilityZoneID{"zone-c"}, fails: true,
			want: classifier.NoBackendServer,
		},
		{
			name: "refused there", zones: []describer.AvailabilityZoneID{"zone-b"}, relay: "Refused", relays: 1, fails: true,
			want: classifier.NoBackendServer,
		},
		{
			name: "connection lost", zones: []describer.AvailabilityZoneID{"zone-b"}, relay: "Broken", relays: 1, fails: true,
			want: classifier.OutcomeUnknown,
		},
		{
			name: "relayed by a peer", zones: []describer.AvailabilityZoneID{"zone-b"}, relayedBy: "peer", fails: true,
			want: classifier.NoBackendServer,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := &fakePath{onceCase: onceCase{Relay: test.relay}}
			err := newRouter(path).Route(t.Context(), router.Call{
				Request: describer.Request{IdempotencyKey: test.key}, Attempt: 1, Zones: test.zones, RelayedBy: test.relayedBy,
			}, httptest.NewRecorder())
			require.Equal(t, test.runs, path.runs)
			require.Equal(t, test.relays, path.relays)
			if test.fails {
				require.Equal(t, test.want, classifier.KindOf(err), "%v", err)
				return
			}
			require.NoError(t, err)
		})
	}
}
