package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

const (
	teamRate    = 4
	teamTraffic = 30 * time.Second
	floodStart  = 8 * time.Second
)

// newFloodDay returns a cell of 20 servers, of which five teams at their usual load need 0.6, and team 0 sends factor times its load in
// the middle of the day. Without named teams the jobs have no team.
func newFloodDay(factor float64, named bool) *cellDay {
	d := newDay(&testing.T{}, 3, 1, 20, 5)
	d.grantOneIn, d.grantsDiffer = 2, true
	d.quiet = false
	d.elect()
	if named {
		d.configureTeams()
	}
	number := 0
	for team := range 5 {
		for i := 0.0; i < teamTraffic.Seconds()*teamRate*0.8; {
			at := seconds(i / (teamRate * 0.8))
			step := 1.0
			if team == 0 && at > floodStart && at < 22*time.Second {
				step = 1 / factor
			}
			i += step
			number++
			options := jobOptions{Tasks: 3, MilliCores: 4000, Seconds: 0.6, Advice: true, Attempts: 4, AdviceCost: specifier.AdviceCost{Fixed: 9 * time.Millisecond, PerServer: 130 * time.Microsecond}}
			switch number % 10 {
			case 3:
				options = jobOptions{Tasks: 12, MilliCores: 9000, Seconds: 3, Gang: true, Advice: true, Priority: 1, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 559 * time.Millisecond, PerServer: 8 * time.Millisecond}}
			case 6:
				options = jobOptions{Tasks: 20, MilliCores: 3500, Seconds: 1.5, Advice: true, Priority: 2, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 104 * time.Millisecond, PerServer: 1400 * time.Microsecond}}
			}
			job := newJob(number, options)
			job.Spec = fmt.Sprint(team)
			if named {
				job.Team = fmt.Sprint(team)
			}
			d.at(d.start.Add(at), func() { d.submit(job) })
		}
	}
	return d
}

func (d *cellDay) configureTeams() {
	var teams []specifier.Team
	for team := range 5 {
		teams = append(teams, specifier.Team{Name: fmt.Sprint(team), Weight: teamRate})
	}
	d.deliver(d.owner().epoch, conductor.Configured{Configuration: specifier.Configuration{Revision: 2, Teams: specifier.NewTeams(teams...)}})
}

// inTime returns the share of the jobs of the other teams, and of team 0, that were in time during the flood.
func (d *cellDay) inTime() (others, flooding float64) {
	var count, met [2]float64
	for _, job := range d.submitted {
		if at := job.AcceptedAt.Sub(d.start); at < floodStart || at > 24*time.Second {
			continue
		}
		i := 0
		if job.Spec == "0" {
			i = 1
		}
		count[i]++
		var ended time.Time
		for index := range job.Steps[0].Count {
			for _, r := range d.runsOf[specifier.StepID{Job: job.ID}.Task(index)] {
				if r.endedAt.After(ended) {
					ended = r.endedAt
				}
			}
		}
		objective := 2*job.Steps[0].Estimate + job.Queue.TargetLatency + 2*job.Queue.Advice.Fixed
		if d.state(job.ID) == specifier.Completed && ended.Sub(job.AcceptedAt) <= objective {
			met[i]++
		}
	}
	return met[0] / count[0], met[1] / count[1]
}

// TestFloodYieldsToOtherTeams guards against a team that floods and takes capacity and advisors from others, against accepted jobs that
// never run, and against a flood that a successor of the owner takes for work within rates.
func TestFloodYieldsToOtherTeams(t *testing.T) {
	play := func(factor float64, named, takeover bool) *cellDay {
		d := newFloodDay(factor, named)
		if takeover {
			d.at(d.start.Add(16*time.Second), d.crashOwner)
			d.at(d.start.Add(16*time.Second+takeoverTime+time.Millisecond), d.configureTeams)
		}
		d.runUntil(3 * time.Minute)
		require.Empty(t, d.violations)
		for _, job := range d.submitted {
			require.Equal(t, specifier.Completed, d.state(job.ID), job.ID)
		}
		return d
	}
	for _, takeover := range []bool{false, true} {
		usual, _ := play(1, true, takeover).inTime()
		present, presentFlooding := play(7.5, false, takeover).inTime()
		others, flooding := play(7.5, true, takeover).inTime()
		t.Logf("takeover %v: other teams %.3f in time without the flood, %.3f with it (%.3f without an order between teams); the flooding team %.3f (%.3f)",
			takeover, usual, others, present, flooding, presentFlooding)
		require.GreaterOrEqual(t, others, usual-0.02)
	}
}

// TestRefusalsAreDecided guards against a flood of which nothing is refused, against refusals of a team within its rate, of work that
// starts while it has a value, and of urgent work because other work of its team waits, and against refusals that go on after the flood.
func TestRefusalsAreDecided(t *testing.T) {
	d := newFloodDay(7.5, true)
	var refused []rater.Refusal
	refusedAt := time.Duration(0)
	d.onRefuse = func(c conductor.Refuse) {
		for _, r := range c.Refusals {
			require.Equal(t, "0", r.Team)
			require.NotZero(t, r.Priority, "urgent work of the flood starts while it has a value")
			refused, refusedAt = append(refused, r), d.now.Sub(d.start)
		}
	}
	d.runUntil(time.Minute)
	require.NotEmpty(t, refused)
	require.Less(t, refusedAt, 25*time.Second)
	for _, r := range refused {
		require.Positive(t, r.Share)
		require.Positive(t, r.Turn)
	}
}

// TestFloodLeavesAdvisors guards against a team whose gangs beyond its rate occupy all advisors, so that others wait for theirs.
func TestFloodLeavesAdvisors(t *testing.T) {
	d := newDay(t, 1, 1, 40, 12)
	d.grantOneIn = 3
	d.elect()
	d.deliver(d.owner().epoch, conductor.Configured{Configuration: specifier.Configuration{
		Revision: 2, Teams: specifier.NewTeams(specifier.Team{Name: "a", Weight: 0.1}),
	}})
	inFlight, most := 0, 0
	d.onAdvise = func(c conductor.Advise) {
		inFlight++
		most = max(most, inFlight)
		d.after(c.ExpectedTime, func() { inFlight-- })
	}
	for i := range 40 {
		job := newJob(i, jobOptions{Tasks: 12, MilliCores: 9000, Seconds: 3, Gang: true, Advice: true, Priority: 1, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 559 * time.Millisecond, PerServer: 8 * time.Millisecond}})
		job.Team = "a"
		d.at(d.start.Add(time.Second), func() { d.submit(job) })
	}
	d.runUntil(2 * time.Minute)
	require.LessOrEqual(t, most, 9)
	require.Greater(t, most, 4, "the flood uses advisors that nobody else needs")
	for _, job := range d.submitted {
		require.Equal(t, specifier.Completed, d.state(job.ID))
	}
}

// TestUrgentFloodUsesWhatIsFree guards against urgent work beyond a rate that waits for passes over all steps, or for advisors, although
// nothing else wants the capacity.
func TestUrgentFloodUsesWhatIsFree(t *testing.T) {
	play := func(team string) (waited time.Duration, most int) {
		d := newDay(t, 1, 1, 40, 6)
		d.grantOneIn = 3
		d.elect()
		d.deliver(d.owner().epoch, conductor.Configured{Configuration: specifier.Configuration{
			Revision: 2, Teams: specifier.NewTeams(specifier.Team{Name: "a", Weight: 0.1}),
		}})
		inFlight := 0
		d.onAdvise = func(c conductor.Advise) {
			inFlight++
			most = max(most, inFlight)
			d.after(c.ExpectedTime, func() { inFlight-- })
		}
		for i := range 200 {
			job := newJob(i, jobOptions{Tasks: 3, MilliCores: 4000, Seconds: 0.6, Advice: true, Attempts: 4, AdviceCost: specifier.AdviceCost{Fixed: 9 * time.Millisecond, PerServer: 130 * time.Microsecond}})
			job.Team = team
			d.at(d.start.Add(time.Second+time.Duration(i/20)*120*time.Millisecond), func() { d.submit(job) })
		}
		d.runUntil(time.Minute)
		for _, job := range d.submitted {
			for _, r := range d.runsOf[specifier.StepID{Job: job.ID}.Task(0)] {
				waited += r.begunAt.Sub(job.AcceptedAt)
			}
		}
		return waited / 200, most
	}
	free, freeMost := play("")
	flood, floodMost := play("a")
	t.Logf("mean wait %s and %d advisors at a time without a rate, %s and %d beyond a rate", free, freeMost, flood, floodMost)
	require.Less(t, flood, free+10*time.Millisecond)
	require.Equal(t, freeMost, floodMost)
}
