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
	// connectionsPerSlot are the connections of a server divided by its slots.
	connectionsPerSlot = 8
	// zoneDelay is the one-way delay inside a zone. The requirements state none; it is small against the shortest run.
	zoneDelay = 50 * time.Microsecond
	// declaredMilliseconds is the declared run time of all kinds, which is far off for most of them.
	declaredMilliseconds = 100
)

// requestShape is the deployment as the request path sees it.
type requestShape struct {
	name string
	load func() generator.Load
	// instances is the number of entry instances of each zone.
	instances   []int
	betweenZone time.Duration
	toCaller    time.Duration
}

// requestShapes returns both deployments of section 1.4 of the design.
func requestShapes() []requestShape {
	return []requestShape{
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
func (s requestShape) serversOf(zone int) []describer.BackendServerID {
	count := requestServers / len(s.instances)
	ids := make([]describer.BackendServerID, count)
	for i := range ids {
		ids[i] = describer.BackendServerID(fmt.Sprintf("z%d-b%02d", zone, i))
	}
	return ids
}

// sharesOf returns the shares of one member of a zone.
func (s requestShape) sharesOf(zone, member int) []dispatcher.Share {
	members := s.instances[zone]
	var shares []dispatcher.Share
	for _, id := range s.serversOf(zone) {
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

func slotsOf(shares []dispatcher.Share) int {
	slots := 0
	for _, share := range shares {
		slots += share.Slots
	}
	return slots
}

func servicesOf(load generator.Load) dispatcher.ServicesChanged {
	kinds := make(map[describer.KindID]describer.Kind)
	for _, kind := range load.Kinds {
		kinds[kind.ID] = describer.Kind{Class: kind.Class, ExpectedMilliseconds: declaredMilliseconds}
	}
	return dispatcher.ServicesChanged{Services: []describer.Service{{ID: load.Service, Kinds: kinds}}}
}
