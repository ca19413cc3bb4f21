package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

const (
	gigabyte = 1 << 30
	// serversPerRack is the number of backend servers in a rack of the deployment tumbonas.
	serversPerRack = 6
	// reportInterval is the time between two usage reports of a backend server, and reportLag the age of a sample when the
	// report arrives.
	reportInterval = 5 * time.Second
	reportLag      = 3 * time.Second
)

// standardServer is the capacity of a backend server of the deployment tumbonas.
var standardServer = describer.Resources{MilliCores: 64_000, MemoryBytes: 256 * gigabyte}

// zoneServers returns live backend servers of one capacity in racks of serversPerRack.
func zoneServers(count int, capacity describer.Resources) []describer.BackendServer {
	servers := make([]describer.BackendServer, count)
	for i := range servers {
		servers[i] = describer.BackendServer{
			ID:       describer.BackendServerID(fmt.Sprintf("server-%05d", i)),
			Rack:     describer.RackID(fmt.Sprintf("rack-%04d", i/serversPerRack)),
			State:    describer.Live,
			Capacity: capacity,
		}
	}
	return servers
}

// placerSimulation drives a placer in virtual time and calls a function for each of its commands.
type placerSimulation struct {
	*eventQueue
	placer     *placer.Placer
	onPlace    func(command placer.PlaceTask)
	onEvict    func(command placer.EvictTask)
	onThrottle func(command placer.ThrottleTask)
	tickAt     time.Time
}

func newPlacerSimulation(servers []describer.BackendServer) *placerSimulation {
	run := &placerSimulation{
		eventQueue: newEventQueue(), placer: placer.New(),
		onEvict: func(placer.EvictTask) {}, onThrottle: func(placer.ThrottleTask) {},
	}
	run.handle(placer.ServersChanged{Servers: servers})
	return run
}

func (r *placerSimulation) handle(event placer.Event) {
	for _, command := range r.placer.Handle(r.now, event) {
		switch command := command.(type) {
		case placer.PlaceTask:
			r.onPlace(command)
		case placer.EvictTask:
			r.onEvict(command)
		case placer.ThrottleTask:
			r.onThrottle(command)
		}
	}
	r.scheduleTick()
}

// scheduleTick schedules a tick at the next deadline of the placer, unless a tick is already scheduled for that time or
// an earlier one.
func (r *placerSimulation) scheduleTick() {
	at, ok := r.placer.NextDeadline()
	if !ok || !r.tickAt.IsZero() && !r.tickAt.After(at) {
		return
	}
	r.tickAt = at
	r.after(max(0, at.Sub(r.now)), func() {
		if r.tickAt.Equal(at) {
			r.tickAt = time.Time{}
			r.handle(placer.Ticked{})
		}
	})
}

// indices returns the task indices from 0 to count-1.
func indices(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}
