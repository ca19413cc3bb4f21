package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/generator"
)

const (
	requestServers = 48
	slotsPerServer = 8
	// connectionsPerSlot is the number of connections to a backend server divided by its slots.
	connectionsPerSlot = 8
	// zoneDelay is the one-way delay inside a zone. The requirements state none; it is small compared to the shortest
	// run time.
	zoneDelay = 50 * time.Microsecond
	// declaredMilliseconds is the declared run time of all kinds, which is far from the real one of most kinds.
	declaredMilliseconds = 100
)

// requestTopology is the part of a deployment that matters to the request path.
type requestTopology struct {
	name string
	load func() generator.Load
	// instances is the number of entry instances of each zone.
	instances []int
	// betweenZone and toCaller are the one-way delays between zones and between an instance and a caller.
	betweenZone time.Duration
	toCaller    time.Duration
}

// requestTopologies returns the two deployments that egretring is sized for.
func requestTopologies() []requestTopology {
	return []requestTopology{
		{
			name: "tumbonas", load: generator.Tumbonas, instances: []int{2, 2, 2, 1},
			betweenZone: 500 * time.Microsecond, toCaller: 3 * time.Millisecond,
		},
		{
			name: "hronov", load: generator.Hronov, instances: []int{3, 2, 2},
			betweenZone: time.Millisecond, toCaller: time.Millisecond,
		},
	}
}

// serversOf returns the backend servers of a zone; the servers are split evenly over the zones.
func (t requestTopology) serversOf(zone int) []describer.BackendServerID {
	count := requestServers / len(t.instances)
	ids := make([]describer.BackendServerID, count)
	for i := range ids {
		ids[i] = describer.BackendServerID(fmt.Sprintf("z%d-b%02d", zone, i))
	}
	return ids
}

// sharesOf returns the shares that one member of a zone owns of the slots of its backend servers.
func (t requestTopology) sharesOf(zone, member int) []dispatcher.Share {
	members := t.instances[zone]
	var shares []dispatcher.Share
	for _, id := range t.serversOf(zone) {
		slots := 0
		for slot := range slotsPerServer {
			if assigner.PositionOf(id, slot)%members == member {
				slots++
			}
		}
		if slots > 0 {
			shares = append(shares, dispatcher.Share{BackendServer: id, Slots: slots, Connections: slots * connectionsPerSlot})
		}
	}
	return shares
}

// slotsOf returns the number of slots in shares.
func slotsOf(shares []dispatcher.Share) int {
	slots := 0
	for _, share := range shares {
		slots += share.Slots
	}
	return slots
}

// servicesOf returns the configuration of the service of a load.
func servicesOf(load generator.Load) dispatcher.ServicesChanged {
	kinds := make(map[describer.KindID]describer.Kind)
	for _, kind := range load.Kinds {
		kinds[kind.ID] = describer.Kind{Class: kind.Class, ExpectedMilliseconds: declaredMilliseconds}
	}
	return dispatcher.ServicesChanged{Services: []describer.Service{{ID: load.Service, Kinds: kinds}}}
}
