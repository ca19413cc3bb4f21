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

var urgent, batch = rater.Line{Team: "a"}, rater.Line{Team: "a", Priority: 2}

// send counts the jobs of a line that a team sends and starts in a second.
func send(r *rater.Rater, line rater.Line, jobs, started int) {
	for range jobs {
		r.Arrive(line)
	}
	for range started {
		r.Start(line)
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

// TestRefusals guards against a refusal of a team that sends less than its rate, of work that can start while it has a value, and of other
// work of the same team, against one that is applied long after it was decided, and against fewer accepted jobs than are served or than
// the rate of the team.
func TestRefusals(t *testing.T) {
	r := newRater(20)
	late := []rater.Demand{{Line: urgent, Waiting: 400, Oldest: 3 * time.Second, Patience: 4 * time.Second}, {
		Line: batch, Waiting: 100, Oldest: 5 * time.Second, Patience: 30 * time.Second,
	}}
	second := func(i int) time.Time { return begin.Add(time.Duration(i) * time.Second) }
	for i := range 10 {
		send(r, urgent, 20, 10)
		require.Empty(t, r.Decide(second(i+1), late), "within the rate")
	}
	random := rand.New(rand.NewPCG(1, 1))
	var refusals stated
	accepted := 0
	for i := 10; i < 40; i++ {
		send(r, batch, 5, 5)
		send(r, urgent, 0, 40)
		for n := range 100 {
			at := second(i).Add(time.Duration(n) * 10 * time.Millisecond)
			if refusals.of(at, urgent).Refuses(specifier.JobID(fmt.Sprintf("%016x", random.Uint64()))) {
				continue
			}
			r.Arrive(urgent)
			if i >= 25 {
				accepted++
			}
		}
		refusals.state(second(i+1), r.Decide(second(i+1), late))
	}
	require.Greater(t, accepted, 15*40, "as many are accepted as are served")
	require.Less(t, accepted, 15*60)
	require.Positive(t, refusals.of(second(40), urgent).Share)
	require.Zero(t, refusals.of(second(40), batch).Share)
	require.False(t, refusals.known.Of(second(40).Add(rater.MaxAge), urgent.Team).Expired())
	require.True(t, refusals.known.Of(second(40).Add(rater.MaxAge+time.Millisecond), urgent.Team).Expired())
	for i := 40; i < 43; i++ {
		for n := range 10 {
			at := second(i).Add(time.Duration(n) * 100 * time.Millisecond)
			if !refusals.of(at, urgent).Refuses(specifier.JobID(fmt.Sprintf("%016x", random.Uint64()))) {
				r.Arrive(urgent)
			}
		}
		refusals.state(second(i+1), r.Decide(second(i+1), late))
	}
	require.Zero(t, refusals.of(second(43), urgent).Share, "the team has sent less than its rate for 3 s")
	for i := 43; i < 48; i++ {
		send(r, urgent, 100, 40)
		require.Empty(t, r.Decide(second(i+1), []rater.Demand{{Line: urgent, Waiting: 40, Oldest: 3 * time.Second, Patience: 4 * time.Second}}),
			"the last one starts after a second")
	}
	send(r, urgent, 100, 1)
	require.NotEmpty(t, r.Decide(second(49), late))
	share := 0.0
	for i := 49; i < 69; i++ {
		send(r, urgent, int(100*(1-share)), 0)
		decisions := r.Decide(second(i+1), late)
		share = 0
		for _, d := range decisions {
			share = d.Share
			if i >= 55 {
				require.LessOrEqual(t, (1-d.Share)*d.Offered, 23.0, "nothing was served for some seconds")
			}
			require.GreaterOrEqual(t, (1-d.Share)*d.Offered, 20.0, "the rate is accepted although nothing is served")
		}
	}
}

// stated has the decisions as an instance learns them that knows each statement at once.
type stated struct {
	known    rater.Statements
	revision int64
}

func (s *stated) state(at time.Time, decisions []rater.Decision) {
	var refusals []rater.Refusal
	for _, d := range decisions {
		refusals = append(refusals, d.Refusal)
	}
	s.revision++
	s.known.Learn(at, rater.Stated{Team: urgent.Team, Revision: s.revision, Statement: rater.Statement{Refusals: refusals}})
}

func (s *stated) of(at time.Time, line rater.Line) rater.Refusal {
	return s.known.Of(at, line.Team).Refusal(line)
}

// TestRefusedJobIsAcceptedWhenItReturns guards against a job that is refused again after the stated wait, although the window moves in steps, and
// against callers of which some are refused more often than others.
func TestRefusedJobIsAcceptedWhenItReturns(t *testing.T) {
	for _, share := range []float64{0.2, 0.8, 0.9} {
		r := rater.Refusal{Line: urgent, Share: share, Phase: 0.7, Turn: max(4*time.Second, time.Duration(float64(3*time.Second)/(1-share)))}
		refusedJobs := 0
		for i := range 1000 {
			id := specifier.JobID(fmt.Sprintf("caller-%d", i))
			if !r.Refuses(id) {
				continue
			}
			refusedJobs++
			for age := time.Duration(0); age <= rater.MinStatementTime; age += 250 * time.Millisecond {
				wait := r.Wait(id, age)
				require.LessOrEqual(t, wait, r.Turn)
				for _, late := range []time.Duration{-800 * time.Millisecond, 0, 800 * time.Millisecond} {
					// Statements are a little more than their shortest time apart.
					const step = rater.MinStatementTime + 50*time.Millisecond
					later := r.After((age + wait + late) / step * step)
					require.False(t, later.Refuses(id), "job %s, share %g, after %s and %s", id, share, wait, late)
				}
			}
		}
		require.InDelta(t, 1000*share, refusedJobs, 40)
	}
}

// TestStatements guards against a statement that permits a job that may have been refused since it arrived, that counts as in force although it
// may have been replaced, or that is applied when it is too old.
func TestStatements(t *testing.T) {
	some := []rater.Refusal{{Line: urgent, Share: 0.9, Phase: 0.5, Turn: 30 * time.Second}}
	var refused, permitted specifier.JobID
	for i := 0; refused == "" || permitted == ""; i++ {
		if id := specifier.JobID(fmt.Sprint(i)); some[0].Refuses(id) {
			refused = id
		} else {
			permitted = id
		}
	}
	first := rater.Stated{Team: urgent.Team, Revision: 5, Statement: rater.Stated{}.Next(some)}
	second := rater.Stated{Team: urgent.Team, Revision: 9, Statement: first.Next(nil)}
	third := rater.Stated{Team: urgent.Team, Revision: 12, Statement: second.Next(nil)}
	none := rater.Stated{Team: urgent.Team}
	short, long := 100*time.Millisecond, rater.MinStatementTime
	require.True(t, first.Permits(urgent, permitted, none, long))
	require.False(t, first.Permits(urgent, refused, none, short))
	require.False(t, second.Permits(urgent, refused, none, short), "the first one may have refused it")
	require.True(t, second.Permits(urgent, permitted, first, long))
	require.True(t, second.Permits(urgent, permitted, none, short))
	require.False(t, second.Permits(urgent, permitted, none, long), "there may have been others")
	require.True(t, third.Permits(urgent, refused, second, long))
	require.False(t, third.Permits(urgent, refused, none, long))

	var known rater.Statements
	start := time.Unix(1000, 0)
	require.False(t, known.Of(start, urgent.Team).IsCertain())
	require.False(t, known.Observe(start, first).IsCertain(), "it may have been there for long")
	require.False(t, known.Of(start.Add(2*time.Second), urgent.Team).Expired())
	require.True(t, known.Observe(start.Add(3*time.Second), first).Expired(), "it is not newer when it is read again")
	second.Age = short
	known.Learn(start, second)
	require.True(t, known.Of(start.Add(700*time.Millisecond), urgent.Team).IsCertain())
	require.False(t, known.Of(start.Add(850*time.Millisecond), urgent.Team).IsCertain())
	known.Learn(start.Add(time.Second), first)
	require.EqualValues(t, 9, known.Of(start, urgent.Team).Revision)
	require.Len(t, known.Told(start), 1)
	require.Empty(t, known.Told(start.Add(time.Minute)))
}

// TestRegister guards against more than a write a second for a team, a write that changes before its outcome is known, and refusals that are not
// ended in the store.
func TestRegister(t *testing.T) {
	now := time.Unix(1000, 0)
	r := rater.NewRegister(now, []rater.Stated{{Team: "old", Revision: 3, Statement: rater.Statement{Refusals: []rater.Refusal{{Share: 0.5}}}}})
	_, _, wait := r.Next(now)
	require.Equal(t, rater.MinStatementTime, wait, "an earlier owner may just have written")
	r.Want(now, []rater.Refusal{{Line: urgent, Share: 0.5, Turn: 10 * time.Second}})
	write, replaced, _ := r.Next(now)
	require.Equal(t, rater.Stated{Team: urgent.Team}, replaced)
	require.Len(t, write.Refusals, 1)
	now = now.Add(rater.MinStatementTime / 2)
	r.Want(now, nil)
	next, _, wait := r.Next(now)
	require.Nil(t, next)
	require.Equal(t, rater.MinStatementTime/2, wait)
	now = now.Add(wait)
	writes := make(map[string]*rater.Statement)
	for range 2 {
		next, replaced, _ = r.Next(now)
		writes[replaced.Team] = next
	}
	require.Same(t, write, writes[urgent.Team], "its outcome is not known")
	require.Equal(t, &rater.Statement{Former: 3, FormerRefusals: []rater.Refusal{{Share: 0.5}}}, writes["old"])
	r.Conflict(now, rater.Stated{Team: "old", Revision: 4})
	stated := r.Confirm(now, urgent.Team, 7)
	require.EqualValues(t, 7, stated.Revision)
	now = now.Add(rater.MinStatementTime)
	next, replaced, _ = r.Next(now)
	require.EqualValues(t, 7, replaced.Revision)
	require.Empty(t, next.Refusals)
	r.Confirm(now, urgent.Team, 9)
	now = now.Add(rater.MinStatementTime)
	next, _, _ = r.Next(now)
	require.Equal(t, &rater.Statement{Former: 9}, next, "nothing was refused before it")
	r.Confirm(now, urgent.Team, 11)
	next, _, wait = r.Next(now.Add(time.Minute))
	require.Nil(t, next)
	require.Zero(t, wait)
}

// BenchmarkStatements shows the cost of the decision about a submission for an instance that knows the statements of 20 teams.
func BenchmarkStatements(b *testing.B) {
	var known rater.Statements
	now := time.Unix(1000, 0)
	for i := range 20 {
		line := rater.Line{Team: fmt.Sprint("team-", i), Priority: 1}
		known.Learn(now, rater.Stated{Team: line.Team, Revision: 1, Statement: rater.Statement{Refusals: []rater.Refusal{
			{Line: urgent}, {Line: line, Share: 0.5, Turn: 6 * time.Second},
		}}})
	}
	line := rater.Line{Team: "team-7", Priority: 1}
	for b.Loop() {
		known.Of(now, line.Team).Refuses(line, "68adf68c000000ae")
	}
}
