package generator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
	"egretring.example/egretring/tester"
)

const seed = 20261204

func TestMain(m *testing.M) {
	tester.Main(m)
}

var start = time.Unix(1_800_000_000, 0)

func generate(t *testing.T, load generator.Load, seed uint64) []generator.Arrival {
	t.Helper()
	g, err := generator.New(load, seed, generator.WithStart(start))
	require.NoError(t, err)
	var arrivals []generator.Arrival
	for arrival := range g.All() {
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

var loads = map[string]generator.Load{"tumbonas": generator.Tumbonas(), "hronov": generator.Hronov()}

// TestSameSeedSameLoad guards against a load that differs between runs with the same seed, so that a failure could not
// be reproduced.
func TestSameSeedSameLoad(t *testing.T) {
	for name, load := range loads {
		load = load.WithDuration(2 * time.Second)
		require.Equal(t, generate(t, load, seed), generate(t, load, seed), name)
		require.NotEqual(t, generate(t, load, seed)[0], generate(t, load, seed+1)[0], name)
	}
}

// TestCancellationsLeaveOtherPropertiesUnchanged guards against a comparison of two loads that differ in more than the
// property that was changed on purpose.
func TestCancellationsLeaveOtherPropertiesUnchanged(t *testing.T) {
	load := generator.Tumbonas().WithDuration(2 * time.Second)
	plain := generate(t, load, seed)
	cancelled := generate(t, load.WithCancellationBursts(generator.CancellationBurst{
		At: time.Second, Window: time.Second, Share: 1,
	}), seed)
	for i := range plain {
		cancelled[i].CancelAfter = plain[i].CancelAfter
	}
	require.Equal(t, plain, cancelled)
}

// TestDeploymentLoads guards against a load without one of the classes, with wrong shares, with a non-repeatable
// request without a usable key, or with arrivals that do not keep about half of the slots of the deployment busy.
func TestDeploymentLoads(t *testing.T) {
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			load = load.WithLoadSwings().WithDuration(30 * time.Second)
			arrivals := generate(t, load, seed)
			t.Logf("seed %d, %d arrivals, mean run time %s", seed, len(arrivals), load.MeanRunTime())
			require.InEpsilon(t, load.PerSecond*load.Duration.Seconds(), len(arrivals), 0.02)
			classes := make(map[describer.Class]int)
			kinds := make(map[describer.KindID]int)
			keys := make(map[string]bool)
			var total time.Duration
			for _, arrival := range arrivals {
				classes[arrival.Class]++
				kinds[arrival.Kind]++
				total += arrival.RunTime
				requireKey(t, arrival, keys)
			}
			require.Len(t, classes, describer.ClassCount)
			for _, kind := range load.Kinds {
				require.InEpsilon(t, kind.Weight*float64(len(arrivals)), kinds[kind.ID], 0.15, kind.ID)
			}
			require.InEpsilon(t, load.MeanRunTime(), total/time.Duration(len(arrivals)), 0.1)
			busy := load.PerSecond * load.MeanRunTime().Seconds() / (48 * 8)
			require.InDelta(t, 0.5, busy, 0.15, "share of busy slots")
		})
	}
}

func requireKey(t *testing.T, arrival generator.Arrival, keys map[string]bool) {
	t.Helper()
	require.Equal(t, arrival.Repeatable, arrival.Key == "")
	if arrival.Repeatable {
		return
	}
	require.False(t, keys[arrival.Key], "key %s is used twice", arrival.Key)
	keys[arrival.Key] = true
	key, err := deduplicator.ParseKey(arrival.Key)
	require.NoError(t, err)
	if !key.IssuedAt().IsZero() {
		require.WithinDuration(t, start.Add(arrival.Offset), key.IssuedAt(), time.Millisecond)
	}
}

// TestLoadSwingMultipliesTheArrivalRate guards against a load swing that does not multiply the load, or that starts or
// ends at the wrong time.
func TestLoadSwingMultipliesTheArrivalRate(t *testing.T) {
	swing := generator.LoadSwing{
		From: 10 * time.Second, Rise: 2 * time.Second, Hold: 6 * time.Second, Fall: 2 * time.Second, Factor: 4,
	}
	load := generator.Hronov().WithDuration(30 * time.Second).WithLoadSwings(swing)
	perSecond := make([]float64, 30)
	for _, arrival := range generate(t, load, seed) {
		perSecond[arrival.Offset/time.Second]++
	}
	for second, count := range perSecond {
		factor := 1.0
		switch {
		case second >= 12 && second < 18:
			factor = 4
		case second == 10 || second == 19:
			factor = 1.75
		case second == 11 || second == 18:
			factor = 3.25
		}
		require.InEpsilon(t, factor*load.PerSecond, count, 0.12, "second %d", second)
	}
}

// TestCancellationBurst guards against a burst of cancellations at the wrong time, of the wrong share of the requests,
// or of requests that have already timed out.
func TestCancellationBurst(t *testing.T) {
	load := generator.Tumbonas().WithDuration(10 * time.Second)
	load.CancelShare = 0
	load = load.WithCancellationBursts(generator.CancellationBurst{At: 5 * time.Second, Window: 3 * time.Second, Share: 0.5})
	inWindowCount, cancelled := 0, 0
	for _, arrival := range generate(t, load, seed) {
		untilBurst := 5*time.Second - arrival.Offset
		inWindow := untilBurst > 0 && untilBurst <= 3*time.Second && untilBurst < arrival.Timeout
		if inWindow {
			inWindowCount++
		}
		if arrival.CancelAfter != 0 {
			cancelled++
			require.True(t, inWindow)
			require.Equal(t, untilBurst, arrival.CancelAfter)
		}
	}
	require.InEpsilon(t, inWindowCount/2, cancelled, 0.05)
}

// TestInvalidLoadIsRefused guards against a load that would divide by zero or never end.
func TestInvalidLoadIsRefused(t *testing.T) {
	changes := []func(*generator.Load){
		func(l *generator.Load) { l.Kinds = nil },
		func(l *generator.Load) { l.Teams = nil },
		func(l *generator.Load) { l.AvailabilityZones = nil },
		func(l *generator.Load) { l.PerSecond = 0 },
		func(l *generator.Load) { l.CancelShare = 2 },
		func(l *generator.Load) { l.LoadSwings = []generator.LoadSwing{{Factor: -1}} },
		func(l *generator.Load) { l.Kinds = []generator.Kind{{ID: "x"}} },
	}
	for i, change := range changes {
		load := generator.Tumbonas()
		change(&load)
		_, err := generator.New(load, seed)
		require.Error(t, err, "change %d", i)
	}
}

// TestArrivalsAreOrderedAndWithinTheLoad guards against arrivals out of order, beyond the end of the load, with an ID
// that was already used or without a run time, for generated load swings.
func TestArrivalsAreOrderedAndWithinTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := generator.Hronov().WithDuration(time.Second).WithUtilization(0.01, 384)
		for range rapid.IntRange(0, 3).Draw(t, "swings") {
			millis := func(name string) time.Duration {
				return time.Duration(rapid.IntRange(0, 1200).Draw(t, name)) * time.Millisecond
			}
			load.LoadSwings = append(load.LoadSwings, generator.LoadSwing{
				From: millis("from"), Rise: millis("rise"), Hold: millis("hold"), Fall: millis("fall"),
				Factor: rapid.Float64Range(0, 5).Draw(t, "factor"),
			})
		}
		g, err := generator.New(load, rapid.Uint64().Draw(t, "seed"))
		require.NoError(t, err)
		last := time.Duration(0)
		ids := make(map[string]bool)
		for arrival := range g.All() {
			require.GreaterOrEqual(t, arrival.Offset, last)
			require.Less(t, arrival.Offset, load.Duration)
			require.False(t, ids[arrival.ID], arrival.ID)
			require.Positive(t, arrival.RunTime, fmt.Sprintf("%+v", arrival))
			ids[arrival.ID], last = true, arrival.Offset
		}
	})
}
