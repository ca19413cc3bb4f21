package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

const (
	stepTime     = 250 * time.Millisecond
	modelServers = 5
	modelSlots   = 8
)

// cell is a model of a zone: a store, a network, clocks, backend servers and processes.
type cell struct {
	random    *rand.Rand
	now       time.Time
	record    assigner.Assignment
	version   int64
	leases    map[assigner.Owner]time.Time
	storeDown bool
	// delayed are writes that the store applies later.
	delayed   []func()
	processes []*process
	// cutLinks lists the links that are down; instance -1 is the store.
	cutLinks map[[2]int]bool
	work     []work
	ids      int
	// declared are the owners that an operator declared dead.
	declared []assigner.Owner
}

// work is one request that occupies a slot.
type work struct {
	process *process
	owner   assigner.Owner
	server  int
}

// process is one start of an instance.
type process struct {
	instance int
	assigner *assigner.Assigner
	inbox    []assigner.Event
	running  bool
	paused   bool
	// unreachable is true for an ended process whose address does not refuse connections, as after a machine failure.
	unreachable     bool
	departed        bool
	leaseID         int64
	leaseOf         assigner.Owner
	renewedAt       time.Time
	shares          assigner.ChangeShares
	applied         assigner.ChangeShares
	epoch           describer.Epoch
	responsesToLose int
}

func newCell(seed uint64, instances int) *cell {
	c := &cell{
		random:   rand.New(rand.NewPCG(seed, seed)),
		now:      time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		leases:   make(map[assigner.Owner]time.Time),
		cutLinks: make(map[[2]int]bool),
	}
	for instance := range instances {
		c.start(instance)
	}
	return c
}

func serverID(index int) describer.BackendServerID {
	return describer.BackendServerID(fmt.Sprintf("backend-%d", index))
}

func (c *cell) start(instance int) *process {
	c.ids++
	self := assigner.Member{
		Owner: assigner.Owner{
			Instance:    describer.InstanceID(fmt.Sprintf("entry-%d", instance)),
			Incarnation: describer.Incarnation(c.now.UnixNano() + int64(c.ids)),
		},
		Address: fmt.Sprintf("address-%d", instance),
	}
	p := &process{instance: instance, running: true, assigner: assigner.New(self, c.nextID)}
	servers := make([]assigner.Server, modelServers)
	for i := range servers {
		servers[i] = assigner.Server{ID: serverID(i), Slots: modelSlots, Connections: 8 * modelSlots}
	}
	p.inbox = append(p.inbox, assigner.ServersChanged{Servers: servers})
	for _, owner := range c.declared {
		p.inbox = append(p.inbox, assigner.DeclaredDead{Owner: owner})
	}
	c.processes = append(c.processes, p)
	return p
}

func (c *cell) declareDead(owner assigner.Owner) {
	c.declared = append(c.declared, owner)
	for _, p := range c.processes {
		p.inbox = append(p.inbox, assigner.DeclaredDead{Owner: owner})
	}
}

func (c *cell) nextID() string {
	c.ids++
	return fmt.Sprint(c.ids)
}

// latest returns the newest process of an instance.
func (c *cell) latest(instance int) *process {
	for i := len(c.processes) - 1; i >= 0; i-- {
		if c.processes[i].instance == instance {
			return c.processes[i]
		}
	}
	return nil
}

func (c *cell) storeReachable(p *process) bool {
	return !c.storeDown && !c.cutLinks[[2]int{-1, p.instance}]
}

func (c *cell) linked(a, b int) bool {
	return !c.cutLinks[[2]int{min(a, b), max(a, b)}]
}

// step advances the time by stepTime and runs each process once.
func (c *cell) step() {
	c.now = c.now.Add(stepTime)
	pending := c.delayed
	c.delayed = nil
	for _, write := range pending {
		if c.random.IntN(3) == 0 {
			write()
		} else {
			c.delayed = append(c.delayed, write)
		}
	}
	c.finishWork(0.15)
	for _, p := range c.processes {
		if p.running && !p.paused {
			c.run(p)
		}
	}
}

func (c *cell) finishWork(chance float64) {
	kept := c.work[:0]
	for _, item := range c.work {
		if c.random.Float64() >= chance {
			kept = append(kept, item)
		}
	}
	c.work = kept
}

// usable returns how many slots of a server may be in use, counting for each process the larger of its work and its
// share, and how many slots the shares contain.
func (c *cell) usable(server int) (inUse, shared int) {
	for _, p := range c.processes {
		busy, share := c.busy(p, server), 0
		if p.running && p.assigner.MayStart(c.now) {
			for _, applied := range p.applied.Shares {
				if applied.BackendServer == serverID(server) {
					share = applied.Slots
				}
			}
		}
		inUse += max(busy, share)
		shared += share
	}
	return inUse, shared
}
