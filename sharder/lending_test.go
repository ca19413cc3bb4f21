package sharder_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/sharder"
	"egretring.example/egretring/specifier"
)

const (
	ticketLife = 2 * time.Second
	wideGang   = specifier.JobID("wide")
	// faultSeeds is the number of random courses of faults.
	faultSeeds = 6
)

// admitted reports whether advice admits a server: about a third of them.
func admitted(id specifier.ServerID) bool {
	var number int
	if _, err := fmt.Sscanf(string(id), "i-%d", &number); err != nil {
		panic(err)
	}
	return number%3 == 0
}

// fullServerGang is a gang whose tasks need a server each.
func fullServerGang(tasks int) specifier.Step {
	return specifier.Step{Count: tasks, Gang: true, Need: specifier.Resources{MilliCores: 40000}, Estimate: runTime}
}

func (c *cell) requireCompleted(id specifier.JobID) {
	state, known, err := c.instances[len(c.instances)-1].State(c.t.Context(), specifier.Caller{}, id)
	require.NoError(c.t, err)
	require.True(c.t, known)
	require.Equal(c.t, specifier.Completed, state, "job %s", id)
}

// requireNoViolation checks that the servers have seen no broken rule.
func (c *cell) requireNoViolation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(c.t, c.violations)
}

// TestGangWiderThanShardRuns guards against a gang that fits the cell but not the servers of its shard and never runs.
func TestGangWiderThanShardRuns(t *testing.T) {
	for _, tasks := range []int{170, 280} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
				require.NoError(t, c.submitSteps(0, "/q/", wideGang, fullServerGang(tasks)))
				time.Sleep(20 * time.Second)
				c.requireCompleted(wideGang)
				c.requireNoViolation()
				require.NotEmpty(t, c.store.Keys(coordinator.TransferPrefix))
				c.requireServersAtHome()
				c.store.DeleteKey("egretring/0/owner")
				c.store.DeleteKey("egretring/1/owner")
				time.Sleep(5 * time.Second)
				require.Empty(t, c.store.Keys(coordinator.TransferPrefix), "new owners delete the keys of returned servers")
			})
		})
	}
}

// TestBacklogUsesIdleServersOfOtherShard guards against jobs that wait in one shard while the servers of another are idle.
func TestBacklogUsesIdleServersOfOtherShard(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		var jobs []specifier.JobID
		for n := 0; len(jobs) < 40; n++ {
			id := specifier.JobID(fmt.Sprintf("job-%d", n))
			if (sharder.Shard{Index: 0, Count: 2}).HasJob(id) {
				jobs = append(jobs, id)
				require.NoError(t, c.submitSteps(0, "/q/", id, fullServerGang(100)))
			}
		}
		time.Sleep(6 * time.Second)
		require.NotEmpty(t, c.store.Keys(coordinator.TransferPrefix))
		time.Sleep(time.Minute)
		for _, id := range jobs {
			c.requireCompleted(id)
		}
		c.requireNoViolation()
		c.requireServersAtHome()
	})
}

// TestAdvisedGangWiderThanShardRuns guards against a gang that never runs because advice refuses most servers of its shard.
func TestAdvisedGangWiderThanShardRuns(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		require.NoError(t, c.submitSteps(0, "/advised/", wideGang, fullServerGang(70)))
		time.Sleep(40 * time.Second)
		c.requireCompleted(wideGang)
		c.requireNoViolation()
	})
}

// TestTaskWithLabelOfOtherShardRuns guards against a task that never runs because only another shard has its label.
func TestTaskWithLabelOfOtherShardRuns(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		labelled := slices.Clone(c.listed)
		labelled[7].Labels = []string{"x"}
		c.setListed(labelled)
		step := specifier.Step{Count: 2, Need: specifier.Resources{MilliCores: 1000}, RequiredLabel: "x", Estimate: runTime}
		for _, id := range []specifier.JobID{"a", "b", "c", "d"} {
			require.NoError(t, c.submitSteps(0, "/q/", id, step))
		}
		time.Sleep(20 * time.Second)
		for _, id := range []specifier.JobID{"a", "b", "c", "d"} {
			c.requireCompleted(id)
		}
		c.requireNoViolation()
		c.requireServersAtHome()
	})
}

// TestLendingSurvivesFaults guards against a server with two owners, a task that runs twice, and jobs or lent servers that
// are lost, when owners are replaced, answers of the store are lost or servers restart while servers are lent.
func TestLendingSurvivesFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runWithCell(t, 3, 300, func(t *testing.T, c *cell) {
				random := rand.New(rand.NewPCG(seed, 1))
				jobs := c.submitMany(random)
				for range 12 {
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					c.injectFault(random)
				}
				c.store.SetFaults(fakekeeper.Faults{})
				time.Sleep(2 * time.Minute)
				for _, id := range <-jobs {
					c.requireCompleted(id)
				}
				c.requireNoViolation()
				c.requireServersAtHome()
			})
		})
	}
}

// submitMany submits small jobs and wide gangs for 20 s, in the background, and then sends their IDs.
func (c *cell) submitMany(random *rand.Rand) <-chan []specifier.JobID {
	sizes := rand.New(rand.NewPCG(random.Uint64(), 1))
	submitted := make(chan []specifier.JobID, 1)
	go func() {
		var jobs []specifier.JobID
		submit := func(prefix string, step specifier.Step) {
			id := specifier.JobID(fmt.Sprintf("%016x", len(jobs)))
			jobs = append(jobs, id)
			for c.submitSteps(len(jobs)%len(c.instances), prefix, id, step) != nil {
				time.Sleep(100 * time.Millisecond)
			}
		}
		for i := range 50 {
			submit("/q/", specifier.Step{Count: 4, Need: specifier.Resources{MilliCores: 2000}, Estimate: runTime})
			switch i % 10 {
			case 3:
				submit("/q/", fullServerGang(120+sizes.IntN(160)))
			case 8:
				submit("/advised/", fullServerGang(40+sizes.IntN(50)))
			}
			time.Sleep(400 * time.Millisecond)
		}
		submitted <- jobs
	}()
	return submitted
}

func (c *cell) injectFault(random *rand.Rand) {
	const kinds = 5
	switch random.IntN(kinds) {
	case 0:
		c.store.DeleteKey(fmt.Sprintf("egretring/%d/owner", random.IntN(2)))
	case 1:
		c.store.SetFaults(fakekeeper.Faults{
			LoseWriteResponses: 1 + random.IntN(8), LateBy: time.Duration(random.IntN(3)) * 400 * time.Millisecond,
		})
	case 2:
		link := c.links[random.IntN(len(c.links))]
		link.cut.Store(true)
		time.AfterFunc(time.Duration(500+random.IntN(6000))*time.Millisecond, func() { link.cut.Store(false) })
	case 3:
		c.restartServers(random)
	case 4:
		c.silenceServers(random)
	}
}

// restartServers restarts a few servers.
func (c *cell) restartServers(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 5 {
		i := random.IntN(len(c.listed))
		server := c.servers[c.listed[i].ID]
		server.restart()
		c.listed[i].Incarnation = server.incarnation
	}
}

// silenceServers makes a few servers unresponsive for a time that is shorter than a lease.
func (c *cell) silenceServers(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 20 {
		server := c.servers[c.listed[random.IntN(len(c.listed))].ID]
		server.unresponsive = true
		time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			server.unresponsive = false
		})
	}
}

// requireServersAtHome checks that no server is lent.
func (c *cell) requireServersAtHome() {
	for _, key := range c.store.Keys(coordinator.TransferPrefix) {
		entry, err := c.store.Get(c.t.Context(), key)
		require.NoError(c.t, err)
		var transfer conductor.Transfer
		require.NoError(c.t, json.Unmarshal(entry.Value, &transfer))
		require.Equal(c.t, transfer.Home, transfer.Shard, key)
	}
}
