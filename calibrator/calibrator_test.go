package calibrator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// cell simulates the run times of a shard of the users' cell with uneven servers.
type cell struct {
	*Calibrator
	random *rand.Rand
	now    time.Time
	speeds []float64
	// slowed is by how much the runs on a server are longer.
	slowed map[int]float64
	steps  int
	ends   int
	// taskSpread, estimateSpread and workSpread are the standard deviations of the logarithms.
	taskSpread, estimateSpread float64
	// separates makes urgent steps run on servers that count as fast, and others elsewhere.
	separates bool
}

func newCell(seed uint64, servers int, speeds ...float64) *cell {
	c := &cell{
		Calibrator: New(), random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0), slowed: make(map[int]float64),
		taskSpread: 0.22, estimateSpread: 0.7,
	}
	for i := range servers {
		c.speeds = append(c.speeds, speeds[i%len(speeds)])
	}
	return c
}

func serverID(i int) specifier.ServerID {
	return specifier.ServerID(fmt.Sprintf("i-%03d", i))
}

// choose returns a server for a task of a queue.
func (c *cell) choose(queue string) int {
	for range 20 {
		i := c.random.IntN(len(c.speeds))
		class := c.Of(serverID(i)).Class
		if !c.separates || class == Unknown || (class == Fast) == (queue == "urgent") {
			return i
		}
	}
	return c.random.IntN(len(c.speeds))
}

// runStep observes the tasks of one step.
func (c *cell) runStep(queue string, tasks int, mean float64) {
	c.steps++
	work := mean * math.Exp(0.5*c.random.NormFloat64())
	estimate := work * math.Exp(c.estimateSpread*c.random.NormFloat64())
	for range tasks {
		i := c.choose(queue)
		run := work * math.Exp(c.taskSpread*c.random.NormFloat64()) / c.speeds[i]
		if c.random.IntN(33) == 0 {
			run *= 5
		}
		if factor, ok := c.slowed[i]; ok {
			run *= factor
		}
		c.Observe(c.now, Observation{
			Server: serverID(i), Step: specifier.StepID{Job: specifier.JobID(fmt.Sprint(c.steps))}, Queue: queue,
			Estimate: time.Duration(estimate * float64(time.Second)), Run: time.Duration(run * float64(time.Second)),
		})
		c.ends++
	}
}

// play observes half a second of the load of a shard with half of the users' servers: 42 urgent and 5 batch steps a second.
func (c *cell) play() {
	for i := range 24 {
		c.runStep("urgent", 3, 0.54)
		if i%10 == 0 {
			c.runStep("batch", 25, 2.9)
		}
	}
	c.now = c.now.Add(500 * time.Millisecond)
	c.Update(c.now)
}

// playFor observes the load for some time.
func (c *cell) playFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.play()
	}
}

// shares returns the shares of the fast servers that count as fast, and of the slow ones that count as slow.
func (c *cell) shares(limit float64) (fast, slow float64) {
	var count, found [2]float64
	for i, speed := range c.speeds {
		kind, class := 0, Slow
		if speed > limit {
			kind, class = 1, Fast
		}
		count[kind]++
		if c.Of(serverID(i)).Class == class {
			found[kind]++
		}
	}
	return found[1] / count[1], found[0] / count[0]
}

// TestEndsUntilFastServersAreKnown guards against speeds that are learned too slowly for a takeover, and against urgent steps that
// hide what was learned because they run on fast servers only.
func TestEndsUntilFastServersAreKnown(t *testing.T) {
	for _, estimateSpread := range []float64{0.5, 0.9} {
		for _, taskSpread := range []float64{0.15, 0.3} {
			for _, separates := range []bool{false, true} {
				c := newCell(1, 175, 0.7, 0.7, 1.7)
				c.estimateSpread, c.taskSpread, c.separates = estimateSpread, taskSpread, separates
				for seconds := 0.5; ; seconds += 0.5 {
					require.Less(t, seconds, 15.0, "the fast servers are not known")
					c.play()
					if fast, slow := c.shares(1); fast >= 0.95 && slow >= 0.95 {
						t.Logf("estimates off by %.1f, tasks by %.2f, separated %t: %.1f s, %.1f ends a server",
							estimateSpread, taskSpread, separates, seconds, float64(c.ends)/175)
						break
					}
				}
				c.playFor(2 * time.Minute)
				fast, slow := c.shares(1)
				low, high := c.ClassFactors()
				t.Logf("after 2 min: %.3f and %.3f known, factors %.2f and %.2f", fast, slow, low, high)
				require.GreaterOrEqual(t, fast, 0.97)
				require.GreaterOrEqual(t, slow, 0.97)
				require.InDelta(t, 1.7/0.7, high/low, 0.35)
			}
		}
	}
}

// TestEqualServersHaveNoClass guards against servers of a cell whose servers are alike that count as slow by chance.
func TestEqualServersHaveNoClass(t *testing.T) {
	for seed := range uint64(20) {
		c := newCell(seed, 175, 1)
		c.taskSpread, c.estimateSpread = 0.3, 0.9
		highest := 0.0
		for range 240 {
			c.play()
			ratio, _ := c.Spread()
			highest = max(highest, ratio)
			require.False(t, c.InEffect())
			require.Empty(t, c.TakeChanges())
		}
		t.Logf("seed %d: highest ratio %.2f", seed, highest)
	}
}

// TestSlowPeriodIsForgotten guards against a server that counts as slow for long after a period of trouble, and against trouble of
// some servers that changes the class of all others.
func TestSlowPeriodIsForgotten(t *testing.T) {
	c := newCell(2, 175, 0.7, 0.7, 1.7)
	c.playFor(20 * time.Second)
	for i := 2; i < 60; i += 3 {
		c.slowed[i] = 4
	}
	c.playFor(5 * time.Second)
	_, slow := c.shares(1)
	require.GreaterOrEqual(t, slow, 0.95)
	clear(c.slowed)
	for seconds := 0.5; ; seconds += 0.5 {
		require.Less(t, seconds, 20.0)
		c.play()
		if fast, _ := c.shares(1); fast >= 0.97 {
			t.Logf("forgotten after %.1f s", seconds)
			return
		}
	}
}

// TestRestartedServerIsUnknown guards against the speed of a former incarnation that is applied to a server of another kind.
func TestRestartedServerIsUnknown(t *testing.T) {
	c := newCell(3, 175, 0.7, 0.7, 1.7)
	c.playFor(10 * time.Second)
	require.Equal(t, Fast, c.Of(serverID(2)).Class)
	c.TakeChanges()
	c.Forget(serverID(2))
	require.Equal(t, Unknown, c.Of(serverID(2)).Class)
	c.speeds[2] = 0.7
	c.playFor(15 * time.Second)
	require.Equal(t, Slow, c.Of(serverID(2)).Class)
	changes := c.TakeChanges()
	require.True(t, slices.ContainsFunc(changes, func(change Change) bool { return change.Server == serverID(2) && change.Class == Slow }))
	for _, s := range c.servers {
		require.LessOrEqual(t, len(s.ends), keptEnds)
	}
	require.Less(t, len(c.Calibrator.steps), 175*keptEnds)
}

// BenchmarkUpdate measures one estimate of the speeds of a shard.
func BenchmarkUpdate(b *testing.B) {
	c := newCell(1, 175, 0.7, 0.7, 1.7)
	c.playFor(20 * time.Second)
	for b.Loop() {
		c.changed, c.solveNotBefore = true, time.Time{}
		c.Update(c.now)
	}
}
