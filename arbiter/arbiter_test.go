package arbiter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

type rank = arbiter.Rank[int]

var oneCore = specifier.Resources{MilliCores: 1000}

// newArbiter returns an Arbiter with a service of 1,000 cores and teams of the given weights, which are called 0, 1 and so on.
func newArbiter(weights []float64) *arbiter.Arbiter {
	a := arbiter.New()
	var teams []specifier.Team
	for i, weight := range weights {
		teams = append(teams, specifier.Team{Name: fmt.Sprint(i), Weight: weight})
	}
	a.SetTeams(specifier.NewTeams(teams...))
	a.SetCapacity("s", oneCore.Times(1000))
	return a
}

// newRank returns a step of a team; Value is the number of its tasks.
func newRank(team, number, tasks int) *rank {
	return &rank{
		Value: tasks, Team: fmt.Sprint(team), Service: "s", Step: specifier.StepID{Job: specifier.JobID(fmt.Sprintf("%d-%04d", team, number))},
		LatestStart: time.Unix(int64(number), 0),
	}
}

// TestShareIsBounded guards against a team that gets ahead of its share by more tasks than the documentation of the package states,
// with any weights, sizes of steps and numbers of steps in a pass, and with a team that comes back after a pause.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1, 50), 2, 8).Draw(t, "weights")
		a := newArbiter(weights)
		count := len(weights)
		sizes := rapid.SliceOfN(rapid.IntRange(1, 100), 50, 50).Draw(t, "sizes")
		pauses := rapid.IntRange(0, 60).Draw(t, "pauses")
		got, largest := make([]float64, count), float64(slices.Max(sizes))
		waiting := make([]*rank, count)
		number := 0
		for pass := range 120 {
			// The first team has a pause, after which all that both have got is counted from its return.
			paused := pass >= 20 && pass < 20+pauses
			if pass == 20+pauses {
				clear(got)
			}
			var ranks []*rank
			for team := range count {
				if team == 0 && paused {
					waiting[0] = nil
					continue
				}
				if waiting[team] == nil {
					number++
					waiting[team] = newRank(team, number, sizes[number%len(sizes)])
				}
				ranks = append(ranks, waiting[team])
			}
			order := arbiter.Arrange(a, ranks, true)
			r, ok := order.Next()
			require.True(t, ok)
			team := int(r.Team[0] - '0')
			for range r.Value {
				arbiter.Start(a, r, oneCore, time.Second)
			}
			waiting[team] = nil
			got[team] += float64(r.Value)
			for i := range count {
				for j := range count {
					if i == 0 && paused || j == 0 && paused {
						continue
					}
					ahead := got[i]/weights[i] - got[j]/weights[j]
					// Any team may have had the largest step, also as its last one before the pause.
					require.LessOrEqual(t, ahead, (largest/weights[i]+largest/weights[j])*(1+1e-9), "teams %d and %d in pass %d", i, j, pass)
				}
			}
		}
	})
}

// TestChargesFollowRunTimes guards against estimates that give a team more or less than its share, against runs that did not start and
// are charged, and against credit without bound for a team that was blocked.
func TestChargesFollowRunTimes(t *testing.T) {
	served := func(estimates [2]time.Duration, withdrawn [2]bool, blocked int) (starts [2]int) {
		a := newArbiter([]float64{1, 1})
		for pass := range 1000 {
			order := arbiter.Arrange(a, []*rank{newRank(0, pass, 1), newRank(1, pass, 1)}, true)
			r, _ := order.Next()
			if r.Team == "0" && pass < blocked {
				r, _ = order.Next()
			}
			team := int(r.Team[0] - '0')
			charge := arbiter.Start(a, r, specifier.Resources{MilliCores: 10_000}, estimates[team])
			if withdrawn[team] {
				a.Withdraw(charge)
			} else {
				a.End(charge, time.Second)
			}
			if pass >= blocked {
				starts[team]++
			}
		}
		return starts
	}
	second := [2]time.Duration{time.Second, time.Second}
	require.InDelta(t, 500, served([2]time.Duration{100 * time.Millisecond, 3 * time.Second}, [2]bool{}, 0)[0], 5, "wrong estimates")
	require.Greater(t, served(second, [2]bool{true, false}, 0)[0], 990, "withdrawn runs are not charged")
	// Of the 500 starts after the block, the team may have those of 5 s of its half of 1,000 cores ahead: 250, and half of the others.
	require.InDelta(t, 250+125, served(second, [2]bool{}, 500)[0], 5, "credit after a block")
}

// TestOrderOfClasses guards against work beyond the rate before work within it, worthless work before any other, a priority that is not
// observed between teams, and another order than before for work without teams.
func TestOrderOfClasses(t *testing.T) {
	make := func(team string, tier arbiter.Tier, beyond bool, priority, latest int) *rank {
		return &rank{Value: latest, Team: team, Service: "s", Tier: tier, Beyond: beyond, Priority: priority, LatestStart: time.Unix(int64(latest), 0)}
	}
	list := func(ranks ...*rank) (values []int) {
		order := arbiter.Arrange(newArbiter([]float64{1, 1}), ranks, true)
		for r, ok := order.Next(); ok; r, ok = order.Next() {
			values = append(values, r.Value)
		}
		return values
	}
	require.Equal(t, []int{7, 6, 5, 4, 3, 2, 1}, list(
		make("0", arbiter.Worthless, true, 0, 1), make("0", arbiter.Worthless, false, 0, 2), make("0", arbiter.Overdue, true, 0, 3),
		make("0", arbiter.OnTime, true, 1, 4), make("1", arbiter.Overdue, false, 0, 5), make("1", arbiter.OnTime, false, 1, 6),
		make("0", arbiter.OnTime, false, 0, 7),
	))
	require.Equal(t, []int{5, 3, 4, 2, 1}, list(
		make("", arbiter.Worthless, false, 0, 1), make("", arbiter.Overdue, false, 0, 2), make("", arbiter.OnTime, false, 1, 4),
		make("", arbiter.OnTime, false, 1, 3), make("", arbiter.OnTime, false, 0, 5),
	))
}

// BenchmarkArrange measures the order of 500 waiting steps, of which 50 start.
func BenchmarkArrange(b *testing.B) {
	for _, teams := range []int{0, 20, 200} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			weights := make([]float64, teams)
			for i := range weights {
				weights[i] = float64(i + 1)
			}
			a := newArbiter(weights)
			steps := make([]*rank, 500)
			for i := range steps {
				steps[i] = newRank(i%max(teams, 1), i*7919%500, 1)
				steps[i].Priority = i % 3
				if teams == 0 {
					steps[i].Team = ""
				}
			}
			ranks := make([]*rank, len(steps))
			for b.Loop() {
				copy(ranks, steps)
				order := arbiter.Arrange(a, ranks, true)
				started := 0
				for r, ok := order.Next(); ok; r, ok = order.Next() {
					if started++; started <= 50 {
						a.End(arbiter.Start(a, r, oneCore, time.Second), time.Second)
					}
				}
			}
		})
	}
}

// TestTokensGoToJobsInTime guards against a team whose tokens are used for the jobs that arrived first although these are late, against a
// job that needs a token for each step, and against a worthless job that is within the rate before one with a value.
func TestTokensGoToJobsInTime(t *testing.T) {
	steps := make([]*rank, 7)
	for i := range steps {
		steps[i] = newRank(0, i, 1)
	}
	steps[0].Tier, steps[1].Tier = arbiter.Worthless, arbiter.Overdue
	steps[2].Paid = true
	steps[4].Step.Job, steps[4].Step.Step = steps[3].Step.Job, 1
	steps[5].Priority = 1
	other := newRank(1, 9, 1)
	arbiter.MarkBeyond(append(slices.Clone(steps), other), func(team string, waiting int) int {
		if team == "1" {
			return 1
		}
		require.Equal(t, 4, waiting)
		return 2
	})
	var beyond []bool
	for _, r := range steps {
		beyond = append(beyond, r.Beyond)
	}
	require.Equal(t, []bool{true, true, false, false, false, true, false}, beyond)
	require.False(t, other.Beyond)
}
