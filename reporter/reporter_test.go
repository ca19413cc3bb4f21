package reporter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestInForceRequiresAllLiveInstancesAndZones guards against a ticket that counts as in force although a live instance
// has not applied it or a zone does not report.
func TestInForceRequiresAllLiveInstancesAndZones(t *testing.T) {
	current := InstanceView{Instance: "a", Live: true, AppliedTicket: 7}
	behind := InstanceView{Instance: "b", Live: true, AppliedTicket: 6}
	notLive := InstanceView{Instance: "c", AppliedTicket: 2}
	reporting := ZoneView{AvailabilityZone: "hala-a", Reporting: true}
	notReporting := ZoneView{AvailabilityZone: "sklad"}
	tests := map[string]struct {
		instances   []InstanceView
		zones       []ZoneView
		inForce     bool
		behind      []describer.InstanceID
		silentZones []describer.AvailabilityZoneID
	}{
		"everywhere":          {[]InstanceView{current}, []ZoneView{reporting}, true, nil, nil},
		"an instance is gone": {[]InstanceView{current, notLive}, []ZoneView{reporting}, true, nil, nil},
		"an instance lags":    {[]InstanceView{current, behind}, []ZoneView{reporting}, false, []describer.InstanceID{"b"}, nil},
		"a zone does not report": {
			[]InstanceView{current}, []ZoneView{reporting, notReporting}, false, nil, []describer.AvailabilityZoneID{"sklad"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := inForce(7, test.instances, test.zones)
			require.Equal(t, test.inForce, view.InForce)
			require.Equal(t, 1, view.Applied)
			require.Len(t, view.Behind, len(test.behind))
			for i, id := range test.behind {
				require.Equal(t, id, view.Behind[i].Instance)
			}
			require.Len(t, view.SilentZones, len(test.silentZones))
			require.Subset(t, view.SilentZones, test.silentZones)
		})
	}
}
