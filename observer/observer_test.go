package observer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/observer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/router"
	"egretring.example/egretring/ticketer"
)

type configuration struct{}

func (configuration) State() (ticketer.State, error) {
	return ticketer.State{}.WithApplied(7).WithService("tally", &describer.Service{ID: "tally", QueueLimit: 9}), nil
}

// testCell is a cell of three zones.
type testCell struct {
	// reports holds the reports of the instances that respond, by their addresses.
	reports     map[string]observer.Report
	recentPeers []observer.RecentPeer
	// listingReads counts the reads of the instance list. Each fetch of the reports reads it once.
	listingReads int
}

func (c *testCell) sources() observer.Sources {
	return observer.Sources{
		Self:          describer.Instance{ID: "a1", AvailabilityZone: "a"},
		Zones:         []describer.AvailabilityZoneID{"a", "b", "c"},
		Configuration: configuration{},
		Local:         func(context.Context) observer.Report { return c.reports["a1:1"] },
		FetchReport: func(_ context.Context, address, _ string) (observer.Report, error) {
			report, ok := c.reports[address]
			if !ok {
				return observer.Report{}, errors.New("no response")
			}
			return report, nil
		},
		RecentPeers: func() []observer.RecentPeer { return c.recentPeers },
		Listing: func() (lister.Listing, time.Time) {
			c.listingReads++
			return lister.Listing{
				Instances: []describer.Instance{
					instance("a1", "a"), instance("b1", "b"), instance("b2", "b"), instance("c1", "c"),
				},
				BackendServers: []describer.BackendServer{{ID: "s1", AvailabilityZone: "b", State: describer.Live}},
			}, time.Now()
		},
	}
}

func instance(id describer.InstanceID, zone describer.AvailabilityZoneID) describer.Instance {
	return describer.Instance{ID: id, AvailabilityZone: zone, PeerAddress: string(id) + ":1"}
}

func report(id describer.InstanceID, zone describer.AvailabilityZoneID, busy int) observer.Report {
	return observer.Report{
		Instance: reporter.InstanceView{
			Instance: id, AvailabilityZone: zone, Live: true, LastHeard: time.Now(), Epoch: 3, AppliedTicket: 7,
		},
		Members:  2,
		Servers:  []observer.ServerReport{{BackendServer: "s1", Slots: 8, BusySlots: busy, Ejected: busy == 2}},
		Services: []reporter.ServiceLoad{{Service: "tally", InProgress: busy}},
	}
}

// TestZonesShowLivenessAndTotalLoad guards against a zone that is shown as reporting although none of its instances
// responds or sends heartbeats, and against a view that counts the load of only one instance.
func TestZonesShowLivenessAndTotalLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCell{reports: map[string]observer.Report{
			"a1:1": report("a1", "a", 0), "b1:1": report("b1", "b", 2), "b2:1": report("b2", "b", 3),
		}}
		o := observer.New(c.sources())
		zones, err := o.Zones(t.Context())
		require.NoError(t, err)
		require.Len(t, zones, 3)
		require.True(t, zones[0].Reporting)
		require.True(t, zones[1].Reporting)
		require.False(t, zones[2].Reporting, "zone c neither answers nor sends heartbeats")
		require.Equal(t, 5, zones[1].BusySlots)
		require.Equal(t, 8, zones[1].Slots)
		require.Equal(t, 2, zones[1].Members)
		servers, err := o.Servers(t.Context())
		require.NoError(t, err)
		require.True(t, servers[0].Ejected)
		loads, err := o.ServiceLoads(t.Context())
		require.NoError(t, err)
		require.Equal(t, []reporter.ServiceLoad{{Service: "tally", InProgress: 5}}, loads)
	})
}

// TestInstanceSeenOnlyByItsZoneIsLive guards against a ticket that counts as in force although an instance whose
// heartbeats reach only members of its own zone has not applied it.
func TestInstanceSeenOnlyByItsZoneIsLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		behind := reporter.InstanceView{
			Instance: "b2", AvailabilityZone: "b", Live: true, LastHeard: time.Now(), AppliedTicket: 6,
		}
		b1 := report("b1", "b", 0)
		b1.Heard = []reporter.InstanceView{behind}
		c := &testCell{reports: map[string]observer.Report{
			"a1:1": report("a1", "a", 0), "b1:1": b1, "c1:1": report("c1", "c", 0),
		}}
		o := observer.New(c.sources())
		views, err := o.Instances(t.Context())
		require.NoError(t, err)
		require.Equal(t, describer.InstanceID("b2"), views[2].Instance)
		require.True(t, views[2].Live)
		require.EqualValues(t, 6, views[2].AppliedTicket)
	})
}

// TestReplacedInstanceIsNotLive guards against an instance that is shown as live because another instance responds at
// its address.
func TestReplacedInstanceIsNotLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCell{reports: map[string]observer.Report{"a1:1": report("a1", "a", 0), "b1:1": report("b9", "b", 0)}}
		o := observer.New(c.sources())
		views, err := o.Instances(t.Context())
		require.NoError(t, err)
		for _, view := range views {
			require.Equal(t, view.Instance == "a1", view.Live, view.Instance)
		}
		reasons, err := o.Reasons(t.Context(), "b1")
		require.NoError(t, err)
		require.Contains(t, reasons[0].Text, "gives no answer")
	})
}

// TestReportsAreCachedBriefly guards against a status that requests the reports of all peers for each of its parts, and
// against reports that are cached for longer than maxReportAge.
func TestReportsAreCachedBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCell{reports: map[string]observer.Report{"a1:1": report("a1", "a", 0)}}
		o := observer.New(c.sources())
		for range 3 {
			_, err := o.Instances(t.Context())
			require.NoError(t, err)
		}
		require.Equal(t, 1, c.listingReads)
		time.Sleep(time.Second)
		_, err := o.Instances(t.Context())
		require.NoError(t, err)
		require.Equal(t, 2, c.listingReads)
	})
}

// TestReasonsExplainObjects guards against a service, backend server or request for which no reason is given.
func TestReasonsExplainObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCell{reports: map[string]observer.Report{"a1:1": report("a1", "a", 2)}}
		o := observer.New(c.sources())
		refusal := classifier.New(classifier.Overloaded, "expected wait 2s, time to the deadline at arrival 1s")
		o.RecentRequests.Add(router.EndedRequest{RequestID: "r1", Trace: "4bf9", At: time.Now(), Err: refusal})
		o.RecentRequests.Add(router.EndedRequest{RequestID: "r2", Trace: "4bfa", At: time.Now(), RelayedTo: "b1"})
		for object, want := range map[string]string{
			"r1": "Overloaded (NotRun): expected wait 2s, time to the deadline at arrival 1s", "4bf9": "Overloaded",
			"r2": "relayed to instance b1", "tally": "2 requests in progress", "s1": "2 of 0 owned slots are busy; ejected",
		} {
			reasons, err := o.Reasons(t.Context(), object)
			require.NoError(t, err)
			var texts string
			for _, reason := range reasons {
				texts += reason.About + ": " + reason.Text + "\n"
			}
			require.Contains(t, texts, want, object)
		}
		reasons, err := o.Reasons(t.Context(), "nothing")
		require.NoError(t, err)
		require.Empty(t, reasons)
	})
}

// TestRecentRequestsAreBounded guards against memory that grows with the number of refused requests.
func TestRecentRequestsAreBounded(t *testing.T) {
	recent := observer.NewRecentRequests()
	recent.Add(router.EndedRequest{RequestID: "first", Trace: "first-trace"})
	require.NotEmpty(t, recent.Reasons("first"))
	for range 4096 {
		recent.Add(router.EndedRequest{RequestID: "again", Trace: "again-trace"})
	}
	require.Empty(t, recent.Reasons("first"))
	require.Empty(t, recent.Reasons("first-trace"))
	require.NotEmpty(t, recent.Reasons("again"))
}
