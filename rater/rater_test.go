package rater_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

var begin = time.Unix(1_700_000_000, 0)

func newRater(weight float64) *rater.Rater {
	r := rater.New()
	r.SetTeams(specifier.NewTeams(specifier.Team{Name: "a", Weight: weight}))
	return r
}

// send counts the jobs that a team sends in a second.
func send(r *rater.Rater, jobs int) {
	for range jobs {
		r.Arrive("a")
	}
}

// serve lets a team take a token for each of its waiting jobs, and returns how many it got.
func serve(r *rater.Rater, now time.Time, waiting int) int {
	count := min(waiting, r.Tokens(now, "a", waiting))
	for range count {
		r.Take("a")
	}
	return count
}

// TestRateHasBurstOfFiveSeconds guards against a team that gets less or more than its rate and its burst.
func TestRateHasBurstOfFiveSeconds(t *testing.T) {
	r := newRater(20)
	second := func(i int) time.Time { return begin.Add(time.Duration(i) * time.Second) }
	for i := range 20 {
		require.Equal(t, 20, serve(r, second(i), 20))
	}
	got := 0
	for i := range 10 {
		got += serve(r, second(20+i), 100)
	}
	require.InDelta(t, 20*10+80, got, 20)
	require.Equal(t, 100, r.Tokens(second(60), "a", 0))
	require.Equal(t, 1, serve(newRater(0.1), begin, 1), "a rate of less than a job in the burst")
	require.Equal(t, 50, serve(r, begin, 50), "the time is before the last one")
	require.Greater(t, r.Tokens(begin, "unknown", 5), 5)
}

// TestTokensAreKeptForWaitingJobs guards against a team that has sent no more than its rate and its burst, but whose jobs count as
// beyond the rate because they could not start.
func TestTokensAreKeptForWaitingJobs(t *testing.T) {
	r := newRater(20)
	waiting := 100
	for i := range 10 {
		waiting += 20
		now := begin.Add(time.Duration(i+1) * time.Second)
		r.Tokens(begin.Add(time.Duration(i)*time.Second), "a", waiting)
		require.GreaterOrEqual(t, r.Tokens(now, "a", waiting), waiting)
	}
	require.Equal(t, 100, r.Tokens(begin.Add(time.Minute), "a", 0))
}

// TestRefusals guards against a refusal of a team that sends less than its rate or whose work is in time, against one that is applied long
// after it was decided, and against a team whose jobs are refused below its rate.
func TestRefusals(t *testing.T) {
	r := newRater(20)
	late := []rater.Demand{{Team: "a", Late: 5}}
	second := func(i int) time.Time { return begin.Add(time.Duration(i) * time.Second) }
	for i := range 10 {
		send(r, 20)
		require.Empty(t, r.Decide(second(i+1), late), "within the rate")
	}
	random := rand.New(rand.NewPCG(1, 1))
	var refusals rater.Refusals
	accepted := 0
	for i := 10; i < 40; i++ {
		for n := range 100 {
			at := second(i).Add(time.Duration(n) * 10 * time.Millisecond)
			if _, refused := refusals.For(at, "a").Refuses(specifier.JobID(fmt.Sprintf("%016x", random.Uint64()))); refused {
				continue
			}
			r.Arrive("a")
			if i >= 25 {
				accepted++
			}
		}
		refusals.LearnAll(second(i+1), nil)
		for _, d := range r.Decide(second(i+1), late) {
			refusals.Learn(second(i+1), d.Refusal)
		}
	}
	require.Greater(t, accepted, 15*20, "jobs within the rate are accepted")
	require.Less(t, accepted, 15*60)
	require.Positive(t, refusals.For(second(40), "a").Share)
	old := refusals.For(second(40).Add(rater.MaxAge+time.Millisecond), "a")
	for i := range 100 {
		_, refused := old.Refuses(specifier.JobID(fmt.Sprint(i)))
		require.False(t, refused)
	}
	for i := 40; i < 43; i++ {
		send(r, 10)
		if i == 42 {
			require.Empty(t, r.Decide(second(i+1), late), "the team has sent less than its rate for 3 s")
		}
	}
	send(r, 500)
	require.Empty(t, r.Decide(second(48), nil), "nothing is late")
	send(r, 100)
	require.NotEmpty(t, r.Decide(second(49), late))
}

// TestRefusedJobIsAcceptedWhenItReturns guards against a job that is refused again after the stated wait, and against callers of which
// some are refused more often than others.
func TestRefusedJobIsAcceptedWhenItReturns(t *testing.T) {
	r := rater.Refusal{Team: "a", Share: 0.8, Phase: 0.7, Turn: 10 * time.Second}
	refusedJobs := 0
	for i := range 1000 {
		id := specifier.JobID(fmt.Sprintf("caller-%d", i))
		wait, refused := r.Refuses(id)
		if !refused {
			continue
		}
		refusedJobs++
		require.LessOrEqual(t, wait, r.Turn)
		for _, late := range []time.Duration{-800 * time.Millisecond, 0, 800 * time.Millisecond} {
			later := r.After(wait + late)
			later.Age = 0
			_, refused = later.Refuses(id)
			require.False(t, refused, "job %s after %s", id, wait+late)
		}
	}
	require.InDelta(t, 800, refusedJobs, 40)
}
