package sharder_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/sharder"
	"egretring.example/egretring/specifier"
)

var strictKeys = sharder.Keys{Required: true, Bounds: authorizer.Bounds{Revocation: 5 * time.Second, Configuration: 3 * time.Second}}

func team(name string, weight float64, keys ...string) specifier.Team {
	return specifier.Team{Name: name, Keys: keys, Weight: weight}
}

// fourTeams are assigned to two shards in the order of their weights: the largest to the first, the others to the second.
var fourTeams = []specifier.Team{team("small", 5, "k-small"), team("large", 90, "k-large"), team("b", 50, "k-b"), team("a", 30, "k-a")}

func teamCell(t *testing.T, instances int) *cell {
	return newCellWith(t, instances, 300, func(c *cell) { c.keys, c.teams = strictKeys, fourTeams })
}

func (c *cell) layout() string {
	entry, err := c.store.Get(c.t.Context(), "egretring/layout")
	require.NoError(c.t, err)
	return string(entry.Value)
}

// TestLayoutAssignsTeams guards against a layout that changes for cells without teams, one that is written without the teams because
// the configuration was read later than the servers, and one that is never written without a configuration.
func TestLayoutAssignsTeams(t *testing.T) {
	const assigned = `{"Shards":2,"Teams":[{"Team":"large","Shard":0},{"Team":"b","Shard":1},{"Team":"a","Shard":1},{"Team":"small","Shard":1}]}`
	for name, k := range map[string]struct {
		keys         sharder.Keys
		servers      int
		teams        []specifier.Team
		configuredAt time.Duration
		within       time.Duration
		layout       string
	}{
		"without teams":        {servers: 300, within: 4 * time.Second, layout: `{"Shards":2}`},
		"one shard":            {keys: strictKeys, servers: 12, teams: fourTeams, within: 4 * time.Second, layout: `{"Shards":1}`},
		"teams":                {keys: strictKeys, servers: 300, teams: fourTeams, within: 4 * time.Second, layout: assigned},
		"late configuration":   {keys: strictKeys, servers: 300, teams: fourTeams, configuredAt: 4 * time.Second, within: 7 * time.Second, layout: assigned},
		"no configuration":     {keys: strictKeys, servers: 300, configuredAt: time.Hour, within: 8 * time.Second, layout: `{"Shards":2}`},
		"keys not in contract": {servers: 300, teams: fourTeams, within: 4 * time.Second, layout: assigned},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCellWith(t, 2, k.servers, func(c *cell) {
					c.keys, c.teams = k.keys, k.teams
					if k.configuredAt > 0 {
						c.revision = 0
					}
				})
				if k.configuredAt < time.Minute {
					time.AfterFunc(k.configuredAt, func() { c.configure(1, k.teams...) })
				}
				time.Sleep(k.within)
				require.Equal(t, k.layout, c.layout())
				c.stop()
			})
		})
	}
}

// TestTeamHasOneShard guards against jobs of a team that are in several shards, are not found by the team, or are found, changed or
// run twice by another team, also when they are final and after a takeover.
func TestTeamHasOneShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := teamCell(t, 3)
		defer c.stop()
		time.Sleep(8 * time.Second)
		job := func(n int, owner string) specifier.Job {
			return specifier.Job{ID: specifier.JobID(fmt.Sprintf("%016x", n)), Team: owner, Steps: []specifier.Step{{
				Count: 1, Need: specifier.Resources{MilliCores: 1000}, Estimate: runTime,
			}}}
		}
		owners := []string{"large", "large", "large", "small", "small", "small", "unassigned", "unassigned"}
		for n, owner := range owners {
			require.NoError(t, c.submitJob(n%3, "/q/", job(n, owner)))
		}
		check := func() {
			for n, owner := range owners {
				id := job(n, owner).ID
				state, known, err := c.instances[n%2].State(t.Context(), specifier.Caller{Team: owner}, id)
				require.NoError(t, err)
				require.True(t, known)
				require.Equal(t, specifier.Completed, state)
				for _, other := range []string{"b", ""} {
					_, known, err := c.instances[n%2].State(t.Context(), specifier.Caller{Team: other}, id)
					require.NoError(t, err)
					require.False(t, known)
					known, err = c.instances[n%2].Cancel(t.Context(), specifier.Caller{Team: other}, id)
					require.NoError(t, err)
					require.False(t, known)
					require.Equal(t, classifier.Conflict, classifier.KindOf(c.submitJob(1, "/q/", job(n, other))))
				}
			}
		}
		for n, owner := range owners {
			require.Equal(t, classifier.Conflict, classifier.KindOf(c.submitJob(0, "/q/", job(n, "b"))), owner)
		}
		time.Sleep(3 * time.Second)
		check()
		shards := make(map[string][]string)
		for n, owner := range owners {
			for shard := range 2 {
				if keys := c.store.Keys(fmt.Sprintf("egretring/%d/states/%016x", shard, n)); len(keys) > 0 && !slices.Contains(shards[owner], fmt.Sprint(shard)) {
					shards[owner] = append(shards[owner], fmt.Sprint(shard))
				}
			}
		}
		require.Equal(t, []string{"0"}, shards["large"])
		require.Equal(t, []string{"1"}, shards["small"])
		require.Len(t, shards["unassigned"], 1)
		for _, key := range c.store.Keys("egretring/") {
			if strings.HasSuffix(key, "/owner") {
				c.store.DeleteKey(key)
			}
		}
		time.Sleep(5 * time.Second)
		check()
		require.Len(t, c.starts, len(owners))
		require.Empty(t, c.violations)
	})
}

// kindOf returns the kind of the error with which a key is refused, or -1.
func (c *cell) kindOf(instance int, key string) classifier.Kind {
	queue, err := c.instances[instance].Queue("h", "/q/x")
	require.NoError(c.t, err)
	if _, err = c.instances[instance].Authorize(queue, key); err != nil {
		return classifier.KindOf(err)
	}
	return -1
}

// TestKeysOfCell guards against a revoked key that works, and a valid one that does not, on an instance that the store refuses, while
// an owner is cut off, and without any way to a proof; and against public queues that are not served then.
func TestKeysOfCell(t *testing.T) {
	for name, k := range map[string]struct {
		fault func(c *cell, entry int, owners []int)
		// served is set if a way to a proof is left.
		served bool
	}{
		"store refuses the instance": {func(c *cell, entry int, _ []int) { c.refuse(entry) }, true},
		"store refuses the instance and an owner": {func(c *cell, entry int, owners []int) {
			c.links[owners[0]].refusesConfiguration.Store(true)
			c.refuse(entry)
		}, true},
		"all owners cut off": {func(c *cell, _ int, owners []int) { c.cutOff(owners) }, true},
		"instance cut off from store and owners": {func(c *cell, entry int, owners []int) {
			c.refuse(entry)
			c.cutOff(owners)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := teamCell(t, 4)
				defer c.stop()
				// Instances ask each other at whole seconds; an answer at the time of the fault may have the change already.
				time.Sleep(12*time.Second + 300*time.Millisecond)
				entry, owners := -1, []int(nil)
				for i, instance := range c.instances {
					if instance.IsOwner() {
						owners = append(owners, i)
					} else {
						entry = i
					}
				}
				require.Len(t, owners, 2)
				require.Equal(t, classifier.Kind(-1), c.kindOf(entry, "k-a"))
				require.Equal(t, classifier.Unauthorized, c.kindOf(entry, "k-new"))
				require.Equal(t, classifier.Unauthorized, c.kindOf(entry, ""))
				k.fault(c, entry, owners)
				revokedAt := time.Now()
				c.configure(2, team("large", 90, "k-large", "k-new"))
				for time.Since(revokedAt) < 9*time.Second {
					at := time.Since(revokedAt)
					kept, revoked, added := c.kindOf(entry, "k-large"), c.kindOf(entry, "k-a"), c.kindOf(entry, "k-new")
					require.NotEqual(t, classifier.Unauthorized, kept)
					if at > strictKeys.Bounds.Configuration {
						require.NotEqual(t, classifier.Unauthorized, added, "at %s", at)
						require.Equal(t, k.served, added < 0, "at %s", at)
						require.Equal(t, k.served, revoked == classifier.Unauthorized, "at %s", at)
					}
					if at > strictKeys.Bounds.Revocation {
						require.Equal(t, k.served, kept < 0, "at %s", at)
						require.GreaterOrEqual(t, revoked, classifier.Kind(0))
					}
					queue, err := c.instances[entry].Queue("h", "/public/x")
					require.NoError(t, err)
					_, err = c.instances[entry].Authorize(queue, "")
					require.NoError(t, err)
					time.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
}

// refuse makes the store refuse all calls of an instance.
func (c *cell) refuse(instance int) {
	c.links[instance].cut.Store(true)
	c.links[instance].refusesConfiguration.Store(true)
}

// cutOff makes instances unreachable for others.
func (c *cell) cutOff(instances []int) {
	for _, i := range instances {
		for shard := range 2 {
			c.network.CutOff(fmt.Sprintf("instance-%d:%d", i, shard))
		}
	}
}

// TestProofsCostOwnersOnly guards against reads of the configuration by instances that an owner tells it.
func TestProofsCostOwnersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := teamCell(t, 8)
		defer c.stop()
		time.Sleep(20 * time.Second)
		before := make([]int64, len(c.links))
		for i, link := range c.links {
			before[i] = link.configurationReads.Load()
		}
		time.Sleep(time.Minute)
		for i, link := range c.links {
			want := 0.0
			if c.instances[i].IsOwner() {
				want = 60
			}
			require.InDelta(t, want, link.configurationReads.Load()-before[i], 1)
		}
	})
}

// TestRefusedKeyIsExplainedByLog guards against a call refused for its key whose cause cannot be found from its ID by the instructions in
// docs/OPERATIONS.md.
func TestRefusedKeyIsExplainedByLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCellWith(t, 1, 12, func(c *cell) { c.keys, c.teams = strictKeys, fourTeams })
		defer c.stop()
		time.Sleep(12 * time.Second)
		require.Equal(t, http.StatusUnauthorized, c.post(0, refusedID))
		lines := c.logs.search(t, refusedID)
		require.Equal(t, "Unauthorized", lines[0].Kind)
		require.Equal(t, "NotRun", lines[0].Outcome)
		c.refuse(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, c.post(0, lateID))
		lines = c.logs.search(t, lateID)
		require.Equal(t, "NotReady", lines[0].Kind)
		require.Contains(t, lines[0].Error, "could not be shown to be fresh: version 1 was last shown")
		require.Len(t, c.logs.search(t, "configuration cannot be shown to be fresh; calls with keys are refused"), 1)
		require.NotEmpty(t, c.logs.search(t, "configuration cannot be read"))
		c.links[0].cut.Store(false)
		c.links[0].refusesConfiguration.Store(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, classifier.Kind(-1), c.kindOf(0, "k-a"))
		require.Len(t, c.logs.search(t, "configuration is shown to be fresh again"), 1)
	})
}

// TestKeysAreCheckedWhereTeamsAre guards against deployments without teams whose calls need keys, and against one whose contract
// requires keys and that serves every call until it has teams.
func TestKeysAreCheckedWhereTeamsAre(t *testing.T) {
	for name, k := range map[string]struct {
		keys   sharder.Keys
		teams  []specifier.Team
		caller specifier.Caller
		kind   classifier.Kind
	}{
		"no teams":            {sharder.Keys{}, nil, specifier.Caller{Unchecked: true}, -1},
		"required, no teams":  {sharder.Keys{Required: true}, nil, specifier.Caller{}, classifier.Unauthorized},
		"teams, not required": {sharder.Keys{}, fourTeams, specifier.Caller{Team: "a"}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCellWith(t, 1, 12, func(c *cell) { c.keys, c.teams = k.keys, k.teams })
				defer c.stop()
				time.Sleep(8 * time.Second)
				caller, err := c.instances[0].Authorize(specifier.Queue{}, "k-a")
				require.Equal(t, k.caller, caller)
				require.Equal(t, k.kind >= 0, err != nil)
				if err != nil {
					require.Equal(t, k.kind, classifier.KindOf(err))
				}
			})
		})
	}
}
