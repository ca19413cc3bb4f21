package measurer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
)

// loadNamed returns a load by its name.
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

// TestRequestRunsRepeat guards against figures that cannot be repeated from their seed, against lost and doubled
// requests, and against work beyond the slots, also while a zone is lost and servers fail.
func TestRequestRunsRepeat(t *testing.T) {
	shape := requestShapes()[0]
	for _, name := range []string{"swing 4x in 2 s", "zone lost", "failing servers"} {
		load := loadNamed(t, name)
		load.use /= 12
		first, err := runRequests(shape, load, chosenPolicy, 1)
		require.NoError(t, err)
		second, err := runRequests(shape, load, chosenPolicy, 1)
		require.NoError(t, err)
		require.Equal(t, first, second, name)
		require.Zero(t, first.broken(), name)
		require.Positive(t, first.answered[describer.Urgent], name)
	}
}

// TestRequestShares guards against slots that nobody or two instances own.
func TestRequestShares(t *testing.T) {
	for _, shape := range requestShapes() {
		slots, servers := 0, 0
		for zone, members := range shape.instances {
			servers += len(shape.serversOf(zone))
			for member := range members {
				slots += slotsOf(shape.sharesOf(zone, member))
			}
		}
		require.Equal(t, requestServers, servers, shape.name)
		require.Equal(t, requestServers*slotsPerServer, slots, shape.name)
	}
}

// TestMeanHold guards against loads that are scaled by time that requests never hold a slot.
func TestMeanHold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	run := generator.RunTime{Median: time.Second, Spread: 0.4, StragglerShare: 0.2, StragglerFactor: 100}
	sum := 0.0
	for range 100_000 {
		sum += min(run.Draw(random), 2*time.Second).Seconds()
	}
	load := generator.Load{Kinds: []generator.Kind{{Share: 1, RunTime: run, Timeout: 2 * time.Second}}}
	require.InDelta(t, sum/100_000, meanHold(load).Seconds(), 0.01)
}

// TestRestrictedLoad guards against a reference load whose Urgent requests arrive at another rate.
func TestRestrictedLoad(t *testing.T) {
	shape := requestShapes()[1]
	load := loadNamed(t, "steady 0.9")
	all := load.generate(shape)
	alone := load.restricted(urgentAlone).generate(shape)
	require.InDelta(t, all.PerSecond*0.9, alone.PerSecond, 1e-6)
	require.Len(t, alone.Kinds, 2)
}
