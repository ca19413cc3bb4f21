package scheduler_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/scheduler"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/ticketer"
)

func TestMain(m *testing.M) { tester.Main(m) }

const (
	zoneServers  = 4
	zoneMembers  = 3
	usageLag     = time.Second
	settleTime   = 40 * time.Second
	recoveryTime = 3 * time.Minute
)

// taskSize is what each task declares and needs.
var taskSize = describer.Resources{MilliCores: 1000, MemoryBytes: 1 << 30}

var serverCapacity = describer.Resources{MilliCores: 4000, MemoryBytes: 4 << 30}

// cell runs the entry instances of some zones with an in-memory network, store and backend servers.
type cell struct {
	t      *testing.T
	store  *fakekeeper.Store
	list   *fakelister.List
	ledger *fakebackend.Ledger

	mu       sync.Mutex
	state    ticketer.State
	members  []*member
	backends map[describer.BackendServerID]*fakebackend.Server
	servers  []describer.BackendServer
	down     map[describer.BackendServerID]bool
	slow     map[describer.BackendServerID]bool
	// partialSince is since when only some tasks of the gang job run; it is zero when all its tasks run or none.
	partialSince time.Time
}

// partialLimit is the longest time for which only some tasks of a gang job may run: the remaining ones may be on a lost
// backend server until its lease has expired.
const partialLimit = time.Minute

func newCell(
	t *testing.T, zones []describer.AvailabilityZoneID, state ticketer.State, options []fakebackend.Option,
) *cell {
	c := &cell{
		t: t, store: fakekeeper.New(), ledger: fakebackend.NewLedger(), state: state,
		backends: make(map[describer.BackendServerID]*fakebackend.Server),
		down:     make(map[describer.BackendServerID]bool),
		slow:     make(map[describer.BackendServerID]bool),
	}
	for _, zone := range zones {
		for i := range zoneServers {
			id := describer.BackendServerID(fmt.Sprintf("%s-server-%d", zone, i))
			c.servers = append(c.servers, describer.BackendServer{
				ID: id, AvailabilityZone: zone, State: describer.Live, Capacity: serverCapacity,
				Rack: describer.RackID(fmt.Sprintf("rack-%d", i/2)),
			})
			c.backends[id] = fakebackend.New(id, append([]fakebackend.Option{
				fakebackend.WithCapacity(serverCapacity), fakebackend.WithLedger(c.ledger),
				fakebackend.WithSeed(uint64(i)), fakebackend.WithUsageLag(usageLag),
				fakebackend.WithTaskNeed(func(describer.TaskID) describer.Resources { return taskSize }),
			}, options...)...)
		}
	}
	c.list = fakelister.New(lister.Listing{BackendServers: c.servers})
	for _, zone := range zones {
		for i := range zoneMembers {
			c.start(zone, i)
		}
	}
	return c
}

// State implements scheduler.Configuration.
func (c *cell) State() (ticketer.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, nil
}

func (c *cell) apply(change func(ticketer.State) ticketer.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = change(c.state).WithApplied(c.state.Applied() + 1)
}

func (c *cell) start(zone describer.AvailabilityZoneID, index int) {
	self := describer.Instance{
		ID: describer.InstanceID(fmt.Sprintf("%s-entry-%d", zone, index)), AvailabilityZone: zone,
		Incarnation: 1, PeerAddress: fmt.Sprintf("%s-%d", zone, index),
	}
	m := &member{Store: c.store, cell: c, zone: zone, address: self.PeerAddress}
	c.mu.Lock()
	c.members = append(c.members, m)
	c.mu.Unlock()
	joined := registrar.New(self, m, c.list, m, registrar.WithUsage(idleUsage),
		registrar.WithLogger(slog.New(slog.DiscardHandler)))
	m.mu.Lock()
	m.registrar = joined
	m.mu.Unlock()
	m.scheduler = scheduler.New(scheduler.Options{
		Instance: self.ID, Zone: zone, Store: m, Membership: m.registrar, Configuration: c, Connect: m.connect,
	})
	m.scheduler.SetServers(c.servers)
	m.scheduler.Start()
}

func idleUsage(_ context.Context, server describer.BackendServer) (assigner.UsageReported, error) {
	return assigner.UsageReported{BackendServer: server.ID, SampledAt: time.Now()}, nil
}

func (c *cell) peer(address string) (*member, error) {
	c.mu.Lock()
	at := slices.IndexFunc(c.members, func(m *member) bool { return m.address == address })
	peer := c.members[at]
	c.mu.Unlock()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	switch {
	case peer.crashed:
		return nil, messenger.ErrRefused
	case peer.paused != nil, peer.registrar == nil:
		return nil, messenger.ErrNoResponse
	}
	return peer, nil
}

// placingMember returns the live member that holds position 0 of a zone, or nil when there is none.
func (c *cell) placingMember(zone describer.AvailabilityZoneID) *member {
	for _, m := range c.members {
		placing, ok := m.registrar.Assignment().PlacingMember()
		if m.zone == zone && !m.isCrashed() && ok && placing == m.registrar.Owner() {
			return m
		}
	}
	return nil
}

// advance lets time pass and checks every 500 ms that no task has run in two places, no backend server above its
// capacity, and no gang job in part for too long.
func (c *cell) advance(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Zero(c.t, c.ledger.Violations().DoubledTasks, "tasks in two places at %s", time.Now())
		for id, backend := range c.backends {
			require.Zero(c.t, backend.Counters().CapacityExceeded, "tasks above the capacity of %s", id)
		}
		c.checkGang()
	}
}

// checkGang requires that the gang job does not run in part for longer than partialLimit.
func (c *cell) checkGang() {
	gang, ok := c.state.Job("train")
	running := c.running()["train"]
	switch {
	case !ok || running == 0 || running == gang.Tasks:
		c.partialSince = time.Time{}
	case c.partialSince.IsZero():
		c.partialSince = time.Now()
	default:
		require.Less(c.t, time.Since(c.partialSince), partialLimit, "%d tasks of the gang job run", running)
	}
}

// running returns how many tasks of each job run according to the usage reports of the backend servers.
func (c *cell) running() map[describer.JobID]int {
	counts := make(map[describer.JobID]int)
	for _, backend := range c.backends {
		report, err := backend.Usage(context.Background())
		require.NoError(c.t, err)
		for _, task := range report.Tasks {
			if task.State.IsActive() {
				counts[task.Task.Job]++
			}
		}
	}
	return counts
}

// started returns how many task starts the backend servers have carried out.
func (c *cell) started() int64 {
	var started int64
	for _, backend := range c.backends {
		started += backend.Counters().TasksStarted
	}
	return started
}

func (c *cell) setDown(id describer.BackendServerID, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[id] = down
}

func (c *cell) isDown(id describer.BackendServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[id]
}

func (c *cell) setSlow(id describer.BackendServerID, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow[id] = slow
}

func (c *cell) isSlow(id describer.BackendServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow[id]
}

// liveMember returns a live member of a zone.
func (c *cell) liveMember(zone describer.AvailabilityZoneID) *member {
	for _, m := range c.members {
		if m.zone == zone && !m.isCrashed() {
			return m
		}
	}
	return nil
}

func (c *cell) close() {
	for _, m := range c.members {
		m.stop()
	}
}

// runCell runs a test in virtual time with a cell whose members have joined and whose jobs have had time to start.
func runCell(
	t *testing.T, zones []describer.AvailabilityZoneID, state ticketer.State, test func(t *testing.T, c *cell),
	options ...fakebackend.Option,
) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, zones, state, options)
		defer c.close()
		c.advance(settleTime)
		test(t, c)
	})
}

var _ forwarder.TaskServer = (*serverConnection)(nil)
