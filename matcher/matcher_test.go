package matcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/calibrator"
	"egretring.example/egretring/specifier"
)

// TestPreferenceFollowsSlack guards against steps that take fast servers although they are in time on slow ones, or in time on
// none, and against steps that are late on slow servers and do not ask for fast ones.
func TestPreferenceFollowsSlack(t *testing.T) {
	speeds := Speeds{Slow: 0.75, Fast: 1.8}
	for _, c := range []struct {
		name string
		step Step
		want Preference
	}{
		{"urgent", Step{Urgent: true, Estimate: time.Second, Correction: 1, Slack: time.Hour}, ReservedFirst},
		{"in time on slow servers", Step{Estimate: 3 * time.Second, Correction: 1, Slack: 1100 * time.Millisecond}, SlowFirst},
		{"late on slow servers", Step{Estimate: 3 * time.Second, Correction: 1, Slack: 900 * time.Millisecond}, FastFirst},
		{"late on slow servers by its queue's bias", Step{Estimate: 3 * time.Second, Correction: 1.5, Slack: 1100 * time.Millisecond}, FastFirst},
		{"late but made up for on fast servers", Step{Estimate: 3 * time.Second, Correction: 1, Slack: -time.Second}, FastFirst},
		{"late on all", Step{Estimate: 3 * time.Second, Correction: 1, Slack: -2 * time.Second}, SlowFirst},
	} {
		require.Equal(t, c.want, Prefer(c.step, speeds), c.name)
	}
}

// TestRanks guards against urgent steps that leave their reserve unused, and others that take fast servers before slow ones.
func TestRanks(t *testing.T) {
	order := func(p Preference) []int {
		return []int{p.Rank(calibrator.Unknown, false), p.Rank(calibrator.Slow, false), p.Rank(calibrator.Fast, false), p.Rank(calibrator.Fast, true)}
	}
	require.Equal(t, []int{0, 0, 0, 0}, order(None))
	require.Equal(t, []int{1, 0, 2, 3}, order(SlowFirst))
	require.Equal(t, []int{1, 2, 0, 3}, order(FastFirst))
	require.Equal(t, []int{2, 3, 1, 0}, order(ReservedFirst))
}

// TestGangsPreferFastServersInDoubt guards against gangs that count on their estimate and become late on slow servers, gangs with slack that
// take fast servers, and gangs that take fast servers which urgent steps need.
func TestGangsPreferFastServersInDoubt(t *testing.T) {
	speeds := Speeds{Slow: 0.75, Fast: 1.8}
	for _, c := range []struct {
		name  string
		slack time.Duration
		spare bool
		want  Preference
	}{
		{"in time on slow servers whatever the estimate is off by", 7 * time.Second, true, SlowFirst},
		{"in time on slow servers by the estimate only", 6 * time.Second, true, FastFirst},
		{"late on slow servers", 900 * time.Millisecond, true, FastFirst},
		{"late on slow servers without spare fast ones", 900 * time.Millisecond, false, SlowFirst},
		{"in time on fast servers if the estimate is too long", -2200 * time.Millisecond, true, FastFirst},
		{"late on all", -2400 * time.Millisecond, true, SlowFirst},
	} {
		step := Step{Estimate: 3 * time.Second, Correction: 1, Slack: c.slack, Gang: true, Spare: c.spare}
		require.Equal(t, c.want, Prefer(step, speeds), c.name)
	}
}

// TestGangTakesAlikeServers guards against gangs that hold fast servers for as long as slow ones although servers of one class hold them.
func TestGangTakesAlikeServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 20).Draw(t, "tasks")
		var places Places
		for class := range places {
			places[class] = rapid.IntRange(0, 30).Draw(t, "places")
		}
		for _, p := range []Preference{SlowFirst, FastFirst} {
			slow, fast := places[calibrator.Slow] >= tasks, places[calibrator.Fast] >= tasks
			got := p.ForGang(tasks, places)
			switch {
			case slow && fast:
				require.Equal(t, p, got)
			case fast:
				require.Equal(t, FastFirst, got)
			default:
				require.Equal(t, SlowFirst, got)
			}
		}
		require.Equal(t, None, None.ForGang(tasks, places))
		require.Equal(t, ReservedFirst, ReservedFirst.ForGang(tasks, places))
	})
}

// TestSpareFollowsUrgentUse guards against gangs that take the last free capacity of fast servers from urgent steps.
func TestSpareFollowsUrgentUse(t *testing.T) {
	var unknown *Reserve
	require.False(t, unknown.Spare())
	var reserve Reserve
	reserve.Observe(time.Unix(1_700_000_000, 0), specifier.Resources{MilliCores: 10000}, specifier.Resources{})
	require.False(t, reserve.Spare())
	reserve.ObserveFree(specifier.Resources{MilliCores: headroom * 10000})
	require.True(t, reserve.Spare())
	reserve.ObserveFree(specifier.Resources{MilliCores: headroom*10000 - 1})
	require.False(t, reserve.Spare())
}

// TestReserveIsNoLargerThanPeak guards against a reserve that grows beyond what urgent steps have used within ten seconds and have
// waiting, by more than a part of a server, or that is smaller although there are servers.
func TestReserveIsNoLargerThanPeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		now := start
		var reserve Reserve
		type use struct {
			at   time.Time
			used int64
		}
		var uses []use
		var candidates []Candidate
		capacity := specifier.Resources{MilliCores: 16000, MemoryMB: 64000}
		for i := range 20 {
			candidates = append(candidates, Candidate{Server: specifier.ServerID(fmt.Sprint(i)), Capacity: capacity})
		}
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			used, waiting := rapid.Int64Range(0, 300000).Draw(t, "used"), rapid.Int64Range(0, 50000).Draw(t, "waiting")
			uses = append(uses, use{now, used})
			reserve.Observe(now, specifier.Resources{MilliCores: used}, specifier.Resources{MilliCores: waiting})
			var peak int64
			lowest := used
			for _, u := range uses {
				if now.Sub(u.at) <= peakInterval*peakIntervals {
					peak = max(peak, u.used)
				}
				lowest = min(lowest, u.used)
			}
			amount := reserve.Amount().MilliCores
			require.LessOrEqual(t, amount, peak+waiting)
			require.GreaterOrEqual(t, amount, int64(keptShare*float64(lowest))-1+waiting)
			before := make(map[specifier.ServerID]bool)
			for _, c := range candidates {
				before[c.Server] = c.Reserved
			}
			chosen := Choose(candidates, reserve.Amount())
			require.Less(t, int64(len(chosen))*capacity.MilliCores, amount+capacity.MilliCores)
			require.GreaterOrEqual(t, int64(len(chosen))*capacity.MilliCores, min(amount, 20*capacity.MilliCores))
			kept, known := 0, 0
			after := make(map[specifier.ServerID]bool)
			for _, id := range chosen {
				after[id] = true
				if before[id] {
					kept++
				}
			}
			for i := range candidates {
				if candidates[i].Reserved {
					known++
				}
				candidates[i].Reserved = after[candidates[i].Server]
			}
			require.Equal(t, min(known, len(chosen)), kept, "reserved servers are exchanged")
		}
	})
}
