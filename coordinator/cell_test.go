package coordinator_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/timekeeper"
)

const (
	runTime = 500 * time.Millisecond
	// longJob is a job whose tasks run for longRunTime.
	longJob     = "long"
	longRunTime = 10 * time.Second
	// clientTimeout is how long the store's client waits for a response.
	clientTimeout = 800 * time.Millisecond
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 3 * time.Second
	// longestLate is how long after their call transactions take effect at most.
	longestLate = 6 * time.Second
	// finalStateRetention is how long the state of a finished job is kept.
	finalStateRetention = 30 * time.Second
)

// cell runs several instances on a fake store, fake backend servers and a fake advice service.
type cell struct {
	t         *testing.T
	store     *fakekeeper.Transactional
	network   *tester.Network
	instances []*coordinator.Coordinator
	stores    []*faultyStore
	clocks    []*shiftedClock
	servers   *fakeServers
	mu        sync.Mutex
	current   specifier.Configuration
	// lateKey selects keys whose writes take effect late, for submitLate.
	lateKey func(key string) bool
	// meter is that of all instances.
	meter *meter.Meter
}

func newCell(t *testing.T, instances int, processors ...float64) *cell {
	c := &cell{
		t: t, store: fakekeeper.NewTransactional(), network: tester.NewNetwork(), servers: newFakeServers(), meter: meter.New(),
		current: specifier.Configuration{Version: 1, Revision: 1, Queues: specifier.NewQueues(specifier.Queue{
			Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second,
			Advice: specifier.AdviceCost{Needed: true, Fixed: 20 * time.Millisecond},
		})},
	}
	c.store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond})
	for i := range instances {
		name := fmt.Sprintf("instance-%d", i)
		share := 1.0
		if i < len(processors) {
			share = processors[i]
		}
		store := &faultyStore{TransactionalStore: c.store}
		c.stores = append(c.stores, store)
		clock := &shiftedClock{}
		c.clocks = append(c.clocks, clock)
		instance, err := coordinator.New(c.network.Listen(name),
			coordinator.WithStore(store), coordinator.WithBackendServers(c.servers),
			coordinator.WithDirectory(&directory{cell: c, store: store}),
			coordinator.WithAdvice(c), coordinator.WithInstance(name, name), coordinator.WithDial(c.network.Dial),
			coordinator.WithProcessors(share), coordinator.WithMeter(c.meter), coordinator.WithClock(clock), coordinator.WithConductor(conductor.WithFinalStateRetention(finalStateRetention)),
			coordinator.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
		require.NoError(t, err)
		instance.Start()
		c.instances = append(c.instances, instance)
		// The first instance becomes the owner.
		time.Sleep(200 * time.Millisecond)
	}
	return c
}

func (c *cell) stop() {
	for _, instance := range c.instances {
		if instance != nil {
			require.NoError(c.t, instance.Stop())
		}
	}
	// Connections between instances end some time after their last message.
	time.Sleep(time.Minute)
}

// shiftedClock is the clock of an instance; it is ahead of the true time by a number of nanoseconds.
type shiftedClock struct{ ahead atomic.Int64 }

// Now implements timekeeper.Clock.
func (c *shiftedClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.ahead.Load()))
}

// faultyStore is the store as one instance reaches it. Its transactions and reads are refused while refusing is set,
// and get no response while unresponsive is set. Transactions that are late get no response.
type faultyStore struct {
	keeper.TransactionalStore
	refusing     atomic.Bool
	unresponsive atomic.Bool
	// lateBy returns after which time a transaction takes effect; zero if it is not late.
	lateBy atomic.Pointer[func(keeper.Transaction) time.Duration]
	// reads is the number of reads of single keys of this program.
	reads atomic.Int64
	// listDelay is how many nanoseconds longer each List takes.
	listDelay atomic.Int64
}

func (s *faultyStore) fault(ctx context.Context) error {
	if s.refusing.Load() {
		return keeper.ErrRefused
	}
	if s.unresponsive.Load() {
		ctx, cancel := context.WithTimeout(ctx, clientTimeout)
		defer cancel()
		<-ctx.Done()
		return keeper.ErrUnavailable
	}
	return nil
}

// Get implements keeper.TransactionalStore.
func (s *faultyStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := s.fault(ctx); err != nil {
		return keeper.Entry{}, err
	}
	if strings.HasPrefix(key, "egretring/") {
		s.reads.Add(1)
	}
	return s.TransactionalStore.Get(ctx, key)
}

// List implements keeper.TransactionalStore.
func (s *faultyStore) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if err := s.fault(ctx); err != nil {
		return keeper.Page{}, err
	}
	time.Sleep(time.Duration(s.listDelay.Load()))
	return s.TransactionalStore.List(ctx, prefix)
}

// Commit implements keeper.TransactionalStore.
func (s *faultyStore) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	if err := s.fault(ctx); err != nil {
		return 0, err
	}
	if lateBy := s.lateBy.Load(); lateBy != nil {
		if late := (*lateBy)(transaction); late > 0 {
			time.AfterFunc(late, func() { _, _ = s.TransactionalStore.Commit(context.Background(), transaction) })
			timekeeper.Sleep(ctx, clientTimeout)
			return 0, keeper.ErrUnavailable
		}
	}
	return s.TransactionalStore.Commit(ctx, transaction)
}

// directory reads through the faultyStore of an instance.
type directory struct {
	cell  *cell
	store *faultyStore
}

// Servers implements coordinator.Directory.
func (d *directory) Servers(context.Context) ([]specifier.Server, error) {
	time.Sleep(time.Duration(d.store.listDelay.Load()))
	return []specifier.Server{d.cell.servers.server}, nil
}

// Configuration implements follower.Source. An older configuration than the known one is returned, too, as by a store whose
// responses overtake each other.
func (d *directory) Configuration(ctx context.Context, _ int64) (follower.Reading, error) {
	if _, err := d.store.Get(ctx, "op"); err != nil {
		return follower.Reading{}, err
	}
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	current := d.cell.current
	return follower.Reading{Newer: &current, StoreRevision: current.Revision}, nil
}

// changePollInterval is the interval at which the directory looks for a change.
const changePollInterval = 10 * time.Millisecond

// AwaitChange implements follower.Source. A configuration that reverts is a change, too.
func (d *directory) AwaitChange(ctx context.Context, after int64, wait time.Duration) (follower.Change, error) {
	for limit := time.Now().Add(wait); time.Now().Before(limit) && ctx.Err() == nil; timekeeper.Sleep(ctx, changePollInterval) {
		d.cell.mu.Lock()
		changed := d.cell.current.Revision != after
		d.cell.mu.Unlock()
		if changed {
			timekeeper.Sleep(ctx, changePollInterval)
			return follower.Change{Changed: true}, d.store.fault(ctx)
		}
	}
	return follower.Change{StoreRevision: after}, d.store.fault(ctx)
}

// Advise implements coordinator.AdviceService.
func (c *cell) Advise(
	_ context.Context, _ specifier.StepID, servers []specifier.ServerID,
) (coordinator.Advice, error) {
	time.Sleep(20 * time.Millisecond)
	advice := coordinator.Advice{ValidUntil: time.Now().Add(2 * time.Second)}
	for _, id := range servers {
		advice.Grants = append(advice.Grants, specifier.Grant{Server: id, Ticket: "t"})
	}
	return advice, nil
}

func (c *cell) submit(instance int, id specifier.JobID) error {
	return c.submitTasks(instance, id, 2)
}

func (c *cell) submitTasks(instance int, id specifier.JobID, tasks int) error {
	queue, err := c.instances[instance].Queue("h", "/q/x")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), callerTimeout)
	defer cancel()
	return c.instances[instance].Submit(ctx, specifier.Job{ID: id, Queue: queue, Steps: []specifier.Step{{
		Count: tasks, Need: specifier.Resources{MilliCores: 1000}, Estimate: runTime,
	}}})
}

// owner returns the value of the owner's key.
func (c *cell) owner() string {
	entry, err := c.store.Get(c.t.Context(), elector.OwnerKey)
	require.NoError(c.t, err)
	return string(entry.Value)
}

func (c *cell) state(instance int, id specifier.JobID) specifier.JobState {
	state, known, err := c.instances[instance].State(c.t.Context(), specifier.Caller{Unchecked: true}, id)
	require.NoError(c.t, err)
	require.True(c.t, known, "job %s is not known", id)
	return state
}

// fakeServers is one backend server that runs each task for the same time.
type fakeServers struct {
	mu        sync.Mutex
	server    specifier.Server
	runs      map[specifier.TaskID]int
	ended     []specifier.EndedTask
	starts    map[specifier.TaskID]int
	number    int64
	fence     int64
	startedAt time.Time
	changed   chan struct{}
}

func newFakeServers() *fakeServers {
	return &fakeServers{
		server: specifier.Server{
			ID: "i-1", Service: "s", Address: "i-1", Incarnation: 1, Capacity: specifier.Resources{MilliCores: 64000},
		},
		runs: make(map[specifier.TaskID]int), starts: make(map[specifier.TaskID]int), startedAt: time.Now(),
		changed: make(chan struct{}),
	}
}

// Start implements coordinator.BackendServers.
func (f *fakeServers) Start(_ context.Context, c conductor.Start) specifier.OrderReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Order.Fence < f.fence {
		return specifier.OrderReply{Result: specifier.OrderFenced}
	}
	f.fence = c.Order.Fence
	f.runs[c.Order.Task] = c.Order.Run
	f.starts[c.Order.Task]++
	duration := runTime
	if c.Order.Task.Job == longJob {
		duration = longRunTime
	}
	time.AfterFunc(duration, func() { f.end(c.Order.Task, c.Order.Run) })
	return specifier.OrderReply{}
}

func (f *fakeServers) end(task specifier.TaskID, run int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	delete(f.runs, task)
	f.ended = append(f.ended, specifier.EndedTask{Number: f.number, Task: task, Run: run, Reason: specifier.RunDone})
	close(f.changed)
	f.changed = make(chan struct{})
}

// Stop implements coordinator.BackendServers.
func (f *fakeServers) Stop(context.Context, conductor.Stop) specifier.OrderResult {
	return specifier.OrderDone
}

// Renew implements coordinator.BackendServers.
func (f *fakeServers) Renew(ctx context.Context, c conductor.Renew) (specifier.ServerReport, specifier.OrderResult) {
	f.mu.Lock()
	if c.Fence < f.fence {
		f.mu.Unlock()
		return specifier.ServerReport{}, specifier.OrderFenced
	}
	f.fence = c.Fence
	for len(f.ended) > 0 && f.ended[0].Number <= c.Acknowledged {
		f.ended = f.ended[1:]
	}
	changed, wait := f.changed, c.Wait
	if len(f.ended) > 0 {
		wait = 0
	}
	f.mu.Unlock()
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return specifier.ServerReport{}, specifier.OrderUnknown
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	report := specifier.ServerReport{Incarnation: 1, Clock: time.Since(f.startedAt)}
	for task, run := range f.runs {
		report.Running = append(report.Running, specifier.RunningTask{Task: task, Run: run, Percent: 100, Measurement: 1000})
	}
	report.Ended = append(report.Ended, f.ended...)
	return report, specifier.OrderDone
}

// startedTwice returns the tasks that were started two or more times.
func (f *fakeServers) startedTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var doubled []string
	for task, starts := range f.starts {
		if starts > 1 {
			doubled = append(doubled, task.String())
		}
	}
	return doubled
}
