package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

const (
	gigabyte = 1 << 30
	// serversPerRack is the number of instances in a rack of the deployment tumbonas.
	serversPerRack = 6
	// reportInterval and reportLag are how often a backend server reports its use, and how old the sample is.
	reportInterval = 5 * time.Second
	reportLag      = 3 * time.Second
)

// standardServer is the instance of the deployment tumbonas.
var standardServer = describer.Resources{MilliCores: 64_000, MemoryBytes: 256 * gigabyte}

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

// tasksRun drives a placer in virtual time.
type tasksRun struct {
	*agenda
	core   *placer.Placer
	placed func(command placer.PlaceTask)
	evict  func(command placer.EvictTask)
	slow   func(command placer.ThrottleTask)
	tickAt time.Time
}

func newTasksRun(servers []describer.BackendServer) *tasksRun {
	run := &tasksRun{
		agenda: newAgenda(), core: placer.New(),
		evict: func(placer.EvictTask) {}, slow: func(placer.ThrottleTask) {},
	}
	run.handle(placer.ServersChanged{Servers: servers})
	return run
}

func (r *tasksRun) handle(event placer.Event) {
	for _, command := range r.core.Handle(r.now, event) {
		switch command := command.(type) {
		case placer.PlaceTask:
			r.placed(command)
		case placer.EvictTask:
			r.evict(command)
		case placer.ThrottleTask:
			r.slow(command)
		}
	}
	r.arm()
}

// arm makes sure that the placer is called at its next deadline.
func (r *tasksRun) arm() {
	at, ok := r.core.NextDeadline()
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

func indices(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}
