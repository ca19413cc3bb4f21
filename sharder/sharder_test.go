package sharder_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/sharder"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

const runTime = 300 * time.Millisecond

// cell runs several instances on a fake store and fake backend servers, which run each task for the same time.
type cell struct {
	t       *testing.T
	store   *fakekeeper.Transactional
	network *tester.Network
	// links connect the instances to the store.
	links     []*storeLink
	instances []*sharder.Sharder
	listed    []specifier.Server
	// keys are those of the instances' settings.
	keys sharder.Keys
	// teams are those of the configuration, and revision is its revision; zero is no configuration.
	teams    []specifier.Team
	revision int64

	logs    logBuffer
	mu      sync.Mutex
	servers map[specifier.ServerID]*fakeServer
	starts  map[specifier.TaskID]int
	// acknowledged are the tasks of which an owner has acknowledged that they are done.
	acknowledged map[specifier.TaskID]bool
	// violations are the broken rules that the fake servers have seen.
	violations []string
}

func newCell(t *testing.T, instances, servers int) *cell {
	return newCellWith(t, instances, servers, func(*cell) {})
}

// newCellWith returns a cell that is changed before its instances start.
func newCellWith(t *testing.T, instances, servers int, setUp func(c *cell)) *cell {
	c := &cell{
		revision: 1,

		t: t, store: fakekeeper.NewTransactional(), network: tester.NewNetwork(), servers: make(map[specifier.ServerID]*fakeServer),
		starts: make(map[specifier.TaskID]int), acknowledged: make(map[specifier.TaskID]bool),
	}
	for i := range servers {
		id := specifier.ServerID(fmt.Sprintf("i-%d", i))
		c.listed = append(c.listed, specifier.Server{
			ID: id, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Incarnation: 1,
			Capacity: specifier.Resources{MilliCores: 64000},
		})
		c.servers[id] = newFakeServer()
	}
	setUp(c)
	for i := range instances {
		link := c.link()
		instance := sharder.New(sharder.Options{
			Store: link, Directory: linkedDirectory{cell: c, link: link}, Instance: fmt.Sprintf("instance-%d", i), Build: c.builder(i),
			Address: fmt.Sprintf("instance-%d:0", i), Processors: cellProcessors,
			Logger: c.logger(i), Meter: meter.New(), Keys: c.keys,
		})
		instance.Start()
		c.instances = append(c.instances, instance)
	}
	return c
}

// cellProcessors is the number of processors of an instance: 300 servers form two shards, and 480 three.
const cellProcessors = 0.5

func (c *cell) builder(instance int) sharder.Build {
	return func(shard sharder.Shard, options ...coordinator.Option) (*coordinator.Coordinator, error) {
		name := fmt.Sprintf("instance-%d", instance)
		address := fmt.Sprintf("%s:%d", name, shard.Index)
		return coordinator.New(c.network.Listen(address), append(options,
			coordinator.WithBackendServers(sender{cell: c, name: address}), coordinator.WithAdvice(c),
			coordinator.WithInstance(name, address), coordinator.WithDial(c.network.Dial), coordinator.WithProcessors(cellProcessors),
			coordinator.WithLogger(c.logger(instance)))...)
	}
}

// Servers implements coordinator.Directory.
func (c *cell) Servers(context.Context) ([]specifier.Server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.listed), nil
}

func (c *cell) setListed(servers []specifier.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = servers
}

// Configuration implements follower.Source.
func (c *cell) Configuration(ctx context.Context, known int64) (follower.Reading, error) {
	page, err := c.store.List(ctx, "op")
	reading := follower.Reading{StoreRevision: page.Revision}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || known >= c.revision {
		return reading, err
	}
	queue := specifier.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Stretch: 2}
	advised := queue
	advised.Name, advised.Prefix = "advised", "/advised/"
	advised.Advice = specifier.AdviceCost{Needed: true, Fixed: 50 * time.Millisecond, TicketLife: ticketLife}
	public := queue
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	reading.Newer = &specifier.Configuration{
		Version: c.revision, Revision: c.revision, Queues: specifier.NewQueues(queue, advised, public), Teams: specifier.NewTeams(c.teams...),
	}
	return reading, nil
}

// AwaitChange implements follower.Source.
func (c *cell) AwaitChange(ctx context.Context, after int64, wait time.Duration) (follower.Change, error) {
	changes, err := c.store.Watch(ctx, keeper.WatchOptions{Prefix: "op", AfterRevision: after, Wait: wait})
	if keeper.IsErrCompacted(err) {
		return follower.Change{Changed: true}, nil
	}
	return follower.Change{StoreRevision: changes.Revision}, err
}

// configure changes the configuration.
func (c *cell) configure(revision int64, teams ...specifier.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.teams = revision, teams
}

// Advise implements coordinator.AdviceService.
func (c *cell) Advise(_ context.Context, _ specifier.StepID, servers []specifier.ServerID) (coordinator.Advice, error) {
	time.Sleep(50 * time.Millisecond)
	advice := coordinator.Advice{ValidUntil: time.Now().Add(ticketLife)}
	for _, id := range servers {
		if admitted(id) {
			advice.Grants = append(advice.Grants, specifier.Grant{Server: id, Ticket: "t"})
		}
	}
	return advice, nil
}

func (c *cell) submit(instance int, id specifier.JobID) error {
	return c.submitSteps(instance, "/q/", id, specifier.Step{
		Count: 3, Need: specifier.Resources{MilliCores: 1000}, Estimate: runTime,
	})
}

func (c *cell) submitSteps(instance int, prefix string, id specifier.JobID, steps ...specifier.Step) error {
	return c.submitJob(instance, prefix, specifier.Job{ID: id, Steps: steps})
}

func (c *cell) submitJob(instance int, prefix string, job specifier.Job) error {
	queue, err := c.instances[instance].Queue("h", prefix+"x")
	if err != nil {
		return err
	}
	job.Queue = queue
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return c.instances[instance].Submit(ctx, job)
}

func (c *cell) stop() {
	for _, instance := range c.instances {
		require.NoError(c.t, instance.Stop())
	}
	time.Sleep(time.Minute)
}

func runWithCell(t *testing.T, instances, servers int, test func(t *testing.T, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, instances, servers)
		defer c.stop()
		time.Sleep(5 * time.Second)
		test(t, c)
	})
}

// TestEachJobRunsInOneShard guards against jobs that no shard accepts, that two shards run, or whose state only some
// instances return, and against a shard that stays without an owner after its owner has drained.
func TestEachJobRunsInOneShard(t *testing.T) {
	for servers, shards := range map[int]int{12: 1, 300: 2} {
		t.Run(fmt.Sprintf("%d servers", servers), func(t *testing.T) {
			runWithCell(t, 2, servers, func(t *testing.T, c *cell) {
				const jobs = 12
				// The keys of a cell with one shard have no shard index.
				require.Equal(t, shards == 1, len(c.store.Keys("egretring/owner")) == 1)
				for i := range jobs {
					require.NoError(t, c.submit(i%2, specifier.JobID(fmt.Sprintf("%016x", i))))
				}
				queue, err := c.instances[0].Queue("h", "/q/x")
				require.NoError(t, err)
				_, err = c.instances[0].Waiting(t.Context(), queue)
				if err != nil {
					require.Equal(t, classifier.NotReady, classifier.KindOf(err))
				}
				time.Sleep(5 * time.Second)
				c.instances[0].Drain()
				time.Sleep(5 * time.Second)
				require.NoError(t, c.submit(1, "late"))
				time.Sleep(5 * time.Second)
				for i := range jobs {
					state, known, err := c.instances[1].State(t.Context(), specifier.Caller{}, specifier.JobID(fmt.Sprintf("%016x", i)))
					require.NoError(t, err)
					require.True(t, known)
					require.Equal(t, specifier.Completed, state, "job %d", i)
				}
				state, _, err := c.instances[1].State(t.Context(), specifier.Caller{}, "late")
				require.NoError(t, err)
				require.Equal(t, specifier.Completed, state)
				for task, starts := range c.starts {
					require.Equal(t, 1, starts, "task %s", task)
				}
				require.Len(t, c.starts, 3*(jobs+1))
			})
		})
	}
}

// TestOwnersAreSpread guards against an instance that owns several shards while others own none.
func TestOwnersAreSpread(t *testing.T) {
	runWithCell(t, 4, 480, func(t *testing.T, c *cell) {
		for range 5 {
			owners := make(map[string]bool)
			for _, key := range c.store.Keys("egretring/") {
				if !strings.HasSuffix(key, "/owner") {
					continue
				}
				entry, err := c.store.Get(t.Context(), key)
				require.NoError(t, err)
				owners[string(entry.Value)] = true
				c.store.DeleteKey(key)
			}
			require.Len(t, owners, 3)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestLateInstanceKeepsLayout guards against an instance that starts later, counts a different number of servers, and
// joins a different number of shards.
func TestLateInstanceKeepsLayout(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		c.setListed(c.listed[:10])
		late := sharder.New(sharder.Options{
			Store: c.store, Directory: c, Instance: "late", Address: "instance-9:0", Processors: cellProcessors, Build: c.builder(9), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Meter: meter.New(),
		})
		late.Start()
		c.instances = append(c.instances, late)
		time.Sleep(2 * time.Second)
		require.NoError(t, c.submit(2, "a"))
		time.Sleep(5 * time.Second)
		state, known, err := c.instances[0].State(t.Context(), specifier.Caller{}, "a")
		require.NoError(t, err)
		require.True(t, known)
		require.Equal(t, specifier.Completed, state)
		require.Empty(t, c.store.Keys("egretring/owner"))
	})
}

// TestLayoutWaitsForSlowRegistration guards against a layout that only fits the servers that registered first.
func TestLayoutWaitsForSlowRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, 480)
		all := c.listed
		c.setListed(all[:100])
		time.Sleep(1400 * time.Millisecond)
		c.setListed(all)
		time.Sleep(8 * time.Second)
		require.Len(t, c.store.Keys("egretring/2/owner"), 1)
		c.stop()
	})
}

// TestNotReadyBeforeLayout guards against errors other than NotReady while the layout cannot be read from the store.
func TestNotReadyBeforeLayout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 12)
		c.store.SetFaults(fakekeeper.Faults{Down: true})
		time.Sleep(10 * time.Second)
		require.Equal(t, classifier.NotReady, classifier.KindOf(c.submit(0, "a")))
		_, _, err := c.instances[0].State(t.Context(), specifier.Caller{}, "a")
		require.Equal(t, classifier.NotReady, classifier.KindOf(err))
		require.False(t, c.instances[0].Ready())
		c.store.SetFaults(fakekeeper.Faults{})
		time.Sleep(5 * time.Second)
		require.NoError(t, c.submit(0, "a"))
		require.True(t, c.instances[0].Ready())
		c.stop()
	})
}

// TestShardsFor guards against owners with more servers than their processors can serve, and against shards that are
// smaller than needed, which have less capacity for wide gang jobs.
func TestShardsFor(t *testing.T) {
	cases := []struct {
		servers    int
		processors float64
		want       int
	}{
		{0, 0.4, 1},
		{48, 0.4, 1},
		{120, 0.4, 1},
		{162, 0.4, 2},
		{250, 0.4, 2},
		{350, 0.8, 2},
		{600, 0.8, 2},
		{1100, 0.8, 3},
		{120, 0, 1},
		{350, 0, 2},
		{480, 0, 2},
		{1000, 0, 3},
		{11_000, 0.8, 8},
		{350, 4, 1},
	}
	for _, c := range cases {
		require.Equal(t, c.want, sharder.ShardsFor(c.servers, c.processors), "%d servers, %g processors", c.servers, c.processors)
	}
}

// TestJobsAndServersBelongToOneShard guards against jobs and servers that belong to no shard or to several, and against
// shards with unequal numbers of servers.
func TestJobsAndServersBelongToOneShard(t *testing.T) {
	const count, servers = 4, 400
	sizes := make([]int, count)
	for i := range servers {
		server := specifier.Server{Address: fmt.Sprintf("10.1.64.%d:8141", i%250)}
		owners := 0
		for k := range count {
			shard := sharder.Shard{Index: k, Count: count}
			if shard.HasServer(server) {
				owners++
				sizes[k]++
			}
		}
		require.Equal(t, 1, owners, "server %s", server.Address)
		jobOwners := 0
		for k := range count {
			if (sharder.Shard{Index: k, Count: count}).HasJob(specifier.JobID(fmt.Sprintf("%016x", i))) {
				jobOwners++
			}
		}
		require.Equal(t, 1, jobOwners)
	}
	for _, size := range sizes {
		require.InDelta(t, servers/count, size, 2)
	}
}
