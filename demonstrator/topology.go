package demonstrator

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
)

// ZoneTopology describes the size of one availability zone.
type ZoneTopology struct {
	ID             describer.AvailabilityZoneID
	Instances      int
	BackendServers int
	ServersPerRack int
}

// Topology describes the size of a cell. Slots, Connections and Capacity are those of each backend server.
type Topology struct {
	Name        string
	Service     describer.ServiceID
	Zones       []ZoneTopology
	Slots       int
	Connections int
	Capacity    describer.Resources
	// ListLag is the delay after which the instance list shows a change.
	ListLag time.Duration
}

const gigabyte = 1 << 30

// Topologies returns the topologies of the known deployments.
func Topologies() []Topology {
	return []Topology{
		{
			Name: "tumbonas", Service: "tally", Slots: 8, Connections: 64, ListLag: 5 * time.Second,
			Capacity: describer.Resources{MilliCores: 64_000, MemoryBytes: 256 * gigabyte},
			Zones:    zones(6, 12, []string{"mazatlan", "vallarta", "acapulco", "huatulco"}, []int{2, 2, 2, 1}),
		},
		{
			Name: "hronov", Service: "pletac", Slots: 8, Connections: 64, ListLag: 5 * time.Second,
			Capacity: describer.Resources{MilliCores: 64_000, MemoryBytes: 128 * gigabyte},
			Zones:    zones(8, 16, []string{"hala-a", "hala-b", "sklad"}, []int{3, 2, 2}),
		},
	}
}

// TopologyNamed returns the topology of a known deployment.
func TopologyNamed(name string) (Topology, error) {
	for _, topology := range Topologies() {
		if topology.Name == name {
			return topology, nil
		}
	}
	return Topology{}, fmt.Errorf("deployment %q is unknown; known deployments are tumbonas and hronov", name)
}

func zones(perRack, servers int, names []string, instances []int) []ZoneTopology {
	list := make([]ZoneTopology, len(names))
	for i, name := range names {
		list[i] = ZoneTopology{
			ID: describer.AvailabilityZoneID(name), Instances: instances[i],
			BackendServers: servers, ServersPerRack: perRack,
		}
	}
	return list
}

// ZoneIDs returns the names of the zones.
func (t Topology) ZoneIDs() []string {
	names := make([]string, len(t.Zones))
	for i, zone := range t.Zones {
		names[i] = string(zone.ID)
	}
	return names
}
