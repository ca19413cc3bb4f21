package measurer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
)

// loadNamed returns the load with a name.
func loadNamed(t *testing.T, name string) requestLoad {
	t.Helper()
	for _, load := range requestLoads() {
		if load.name == name {
			return load
		}
	}
	require.Fail(t, "no such load", name)
	return requestLoad{}
}

// TestRequestRunsRepeatAndKeepGuarantees guards against figures that cannot be reproduced from their seed, against lost
// and doubled requests, and against more running requests than slots, also when a zone is lost and backend servers
// fail.
func TestRequestRunsRepeatAndKeepGuarantees(t *testing.T) {
	topology := requestTopologies()[0]
	for _, name := range []string{"swing 4x in 2 s", "zone lost", "failing servers"} {
		load := loadNamed(t, name)
		load.utilization /= 12
		first, err := runRequests(topology, load, chosenPolicy, 1)
		require.NoError(t, err)
		second, err := runRequests(topology, load, chosenPolicy, 1)
		require.NoError(t, err)
		require.Equal(t, first, second, name)
		require.Zero(t, first.brokenGuarantees(), name)
		require.Positive(t, first.answered[describer.Urgent], name)
	}
}

// TestSharesCoverEachSlotOnce guards against slots that no instance owns or that two instances own.
func TestSharesCoverEachSlotOnce(t *testing.T) {
	for _, topology := range requestTopologies() {
		slots, servers := 0, 0
		for zone, members := range topology.instances {
			servers += len(topology.serversOf(zone))
			for member := range members {
				slots += slotsOf(topology.sharesOf(zone, member))
			}
		}
		require.Equal(t, requestServers, servers, topology.name)
		require.Equal(t, requestServers*slotsPerServer, slots, topology.name)
	}
}

// TestMeanHoldTimeEndsAtTimeout guards against arrival rates computed from run time beyond the timeout, during which
// requests hold no slot.
func TestMeanHoldTimeEndsAtTimeout(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	run := generator.RunTime{Median: time.Second, Spread: 0.4, StragglerShare: 0.2, StragglerFactor: 100}
	sum := 0.0
	for range 100_000 {
		sum += min(run.Draw(random), 2*time.Second).Seconds()
	}
	load := generator.Load{Kinds: []generator.Kind{{Weight: 1, RunTime: run, Timeout: 2 * time.Second}}}
	require.InDelta(t, sum/100_000, meanHoldTime(load).Seconds(), 0.01)
}

// TestRestrictedLoadKeepsUrgentRate guards against a reference load whose Urgent requests arrive at another rate than
// in the whole load.
func TestRestrictedLoadKeepsUrgentRate(t *testing.T) {
	topology := requestTopologies()[1]
	load := loadNamed(t, "steady 0.9")
	all := load.generate(topology)
	alone := load.restricted(urgentAlone).generate(topology)
	require.InDelta(t, all.PerSecond*0.9, alone.PerSecond, 1e-6)
	require.Len(t, alone.Kinds, 2)
}
