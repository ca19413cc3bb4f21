package forecaster_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"egretring.example/egretring/forecaster"
)

// scenario is a decision after a steady rate of ends on a rack.
type scenario struct {
	Name string
	// FarFactor is the factor of the run time on far servers.
	FarFactor float64
	// CoresReleasedPerSecond were released each second for ObservedSeconds.
	CoresReleasedPerSecond float64
	ObservedSeconds        int
	RunSeconds             float64
	WantedCores            float64
	// LatestStartIn is in seconds from now.
	LatestStartIn float64
	Contended     bool
	// Wait is the expected decision, and WaitSeconds the longest wait.
	Wait        bool
	WaitSeconds float64
}

// TestWaitPays guards against tasks that wait although a start on a far server ends earlier or is the last one to meet the
// objective, and against tasks that run on far servers although a short wait would have paid.
func TestWaitPays(t *testing.T) {
	text, err := os.ReadFile("testdata/decisions.hujson")
	require.NoError(t, err)
	plain, err := hujson.Standardize(text)
	require.NoError(t, err)
	var scenarios []scenario
	require.NoError(t, json.Unmarshal(plain, &scenarios))
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			f := forecaster.New(forecaster.WithFarFactor(s.FarFactor))
			for second := range s.ObservedSeconds {
				f.Released(now.Add(time.Duration(second-s.ObservedSeconds)*time.Second), "r1", int64(1000*s.CoresReleasedPerSecond))
			}
			got := f.Decide(now, forecaster.Choice{
				Rack: "r1", RunTime: seconds(s.RunSeconds), WantedMilliCores: int64(1000 * s.WantedCores),
				LatestStart: now.Add(seconds(s.LatestStartIn)), Contended: s.Contended,
			})
			require.Equal(t, s.Wait, got.Wait, "%+v", got)
			if s.Wait {
				require.InDelta(t, s.WaitSeconds, got.WaitUntil.Sub(now).Seconds(), 0.1*s.WaitSeconds)
			}
		})
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// outcome counts simulated tasks.
type outcome struct {
	inTime int
	total  time.Duration
}

// TestForecastBeatsFixedRules guards against a decision that is worse than the simplest rules, never to wait and always to wait, for a
// rack that is wanted by more or fewer tasks than it can run. The seed is fixed.
func TestForecastBeatsFixedRules(t *testing.T) {
	const seed = 20261207
	for _, load := range []float64{0.5, 0.9, 1.3, 2} {
		rules := map[string]func(forecaster.Forecast) bool{
			"Never": func(forecaster.Forecast) bool { return false }, "Always": func(forecaster.Forecast) bool { return true },
			"Forecast": func(f forecaster.Forecast) bool { return f.Wait },
		}
		results := make(map[string]outcome)
		for name, wait := range rules {
			results[name] = simulate(seed, load, wait)
			t.Logf("load %.1f %s: %d in time, mean time to the end %s", load, name, results[name].inTime, results[name].total/tasks)
		}
		best := min(results["Never"].total, results["Always"].total)
		require.LessOrEqual(t, results["Forecast"].total, best+best/20, "load %.1f", load)
		require.GreaterOrEqual(t, results["Forecast"].inTime, max(results["Never"].inTime, results["Always"].inTime)*19/20, "load %.1f", load)
	}
}

const (
	tasks = 1000
	// slots is the number of tasks that the rack runs at a time.
	slots     = 8
	farFactor = 3
	step      = 20 * time.Millisecond
)

type simulatedTask struct {
	arrival time.Time
	run     time.Duration
}

// simulate plays tasks that want one rack, on which slots of them fit, while far servers are always free. Load is the demand divided
// by what the rack can run.
func simulate(seed uint64, load float64, wait func(forecaster.Forecast) bool) outcome {
	random := rand.New(rand.NewPCG(seed, 0))
	const meanRun = 2 * time.Second
	f := forecaster.New(forecaster.WithFarFactor(farFactor))
	now := time.Unix(1_700_000_000, 0)
	nextArrival := now
	var waiting []simulatedTask
	var ends []time.Time
	result := outcome{}
	finish := func(task simulatedTask, at time.Time) {
		result.total += at.Sub(task.arrival)
		if at.Sub(task.arrival) <= 4*task.run {
			result.inTime++
		}
	}
	for arrived := 0; arrived < tasks || len(waiting) > 0; now = now.Add(step) {
		for arrived < tasks && !now.Before(nextArrival) {
			waiting = append(waiting, simulatedTask{now, time.Duration((0.5 + random.Float64()) * float64(meanRun))})
			arrived++
			nextArrival = nextArrival.Add(time.Duration(random.ExpFloat64() * float64(meanRun) / (slots * load)))
		}
		var running []time.Time
		for _, end := range ends {
			if now.Before(end) {
				running = append(running, end)
				continue
			}
			f.Released(now, "r1", 1000)
		}
		ends = running
		var still []simulatedTask
		for _, task := range waiting {
			if len(ends) < slots {
				ends = append(ends, now.Add(task.run))
				finish(task, now.Add(task.run))
				continue
			}
			forecast := f.Decide(now, forecaster.Choice{
				Rack: "r1", RunTime: task.run, WantedMilliCores: int64(1000 * (len(still) + 1)), LatestStart: task.arrival.Add(3 * task.run),
			})
			if wait(forecast) {
				still = append(still, task)
				continue
			}
			finish(task, now.Add(farFactor*task.run))
		}
		waiting = still
	}
	return result
}
