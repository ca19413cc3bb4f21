package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

func teamWith(limit specifier.Resources) specifier.Teams {
	return specifier.NewTeams(specifier.Team{Name: "a", MaxRunning: limit})
}

// TestFitsUpToTheLimit guards against a count of tasks that does not use up the limit of the scarcest resource, or exceeds one.
func TestFitsUpToTheLimit(t *testing.T) {
	amounts := rapid.Custom(func(t *rapid.T) specifier.Resources {
		amount := rapid.Int64Range(0, 9)
		return specifier.Resources{MilliCores: amount.Draw(t, "cores"), MemoryMB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")}
	})
	within := func(used, limit specifier.Resources) bool {
		return (limit.MilliCores == 0 || used.MilliCores <= limit.MilliCores) && (limit.MemoryMB == 0 || used.MemoryMB <= limit.MemoryMB) &&
			(limit.Accelerators == 0 || used.Accelerators <= limit.Accelerators)
	}
	rapid.Check(t, func(t *rapid.T) {
		subject, limit, used, need := accountant.New(), amounts.Draw(t, "limit").Times(5), amounts.Draw(t, "used"), amounts.Draw(t, "need")
		subject.Configure(teamWith(limit))
		subject.Take("a", used)
		every := specifier.Resources{MilliCores: 1, MemoryMB: 1, Accelerators: 1}
		require.Equal(t, !within(used, limit), subject.Exceeded("a", every))
		require.Equal(t, !within(only(need, used), limit), subject.Exceeded("a", need))
		const most = 7
		fitting := subject.Fits("a", need, most)
		if within(used, limit) {
			require.True(t, within(used.Plus(need.Times(fitting)), limit))
			require.True(t, fitting == most || !within(used.Plus(need.Times(fitting+1)), limit))
		}
		subject.Release("a", used)
		require.Equal(t, specifier.Resources{}, subject.Usage("a").Running)
	})
}

// only returns the part of an amount that consists of resources of which a need has some.
func only(need, amount specifier.Resources) specifier.Resources {
	if need.MilliCores == 0 {
		amount.MilliCores = 0
	}
	if need.MemoryMB == 0 {
		amount.MemoryMB = 0
	}
	if need.Accelerators == 0 {
		amount.Accelerators = 0
	}
	return amount
}

// TestLimitIsUnknownWithoutConfiguration guards against starts by a new owner that does not know the limits yet, and against a limit
// that is lifted when a configuration lacks the team.
func TestLimitIsUnknownWithoutConfiguration(t *testing.T) {
	subject, need := accountant.New(), specifier.Resources{MilliCores: 1}
	require.Equal(t, 0, subject.Fits("a", need, 9))
	require.Equal(t, 9, subject.Fits("", need, 9))
	subject.Configure(teamWith(specifier.Resources{MilliCores: 5}))
	require.Equal(t, 5, subject.Fits("a", need, 9))
	require.Equal(t, 9, subject.Fits("b", need, 9))
	subject.Configure(specifier.Teams{})
	require.Equal(t, 5, subject.Fits("a", need, 9))
	require.Equal(t, 3, subject.FitsBeside("a", need, specifier.Resources{MilliCores: 2}, 9))
}

// TestLateReleaseCountsUntilItsTime guards against a start without a response that stops counting while it may still be carried out.
func TestLateReleaseCountsUntilItsTime(t *testing.T) {
	subject, need, now := accountant.New(), specifier.Resources{MilliCores: 5}, time.Unix(1000, 0)
	subject.Configure(teamWith(need))
	subject.Take("a", need)
	subject.ReleaseAt("a", need, now.Add(time.Second))
	require.False(t, subject.Advance(now))
	require.Equal(t, 0, subject.Fits("a", need, 1))
	require.True(t, subject.Advance(now.Add(time.Second)))
	require.Equal(t, 1, subject.Fits("a", need, 1))
}

// TestWavesOfWideStep guards against a wrong number of waves, and against waves of gangs and of teams without a limit.
func TestWavesOfWideStep(t *testing.T) {
	subject := accountant.New()
	subject.Configure(teamWith(specifier.Resources{MilliCores: 10_000, MemoryMB: 100}))
	for want, step := range map[int]specifier.Step{
		1: {Count: 5, Need: specifier.Resources{MilliCores: 2000}},
		3: {Count: 11, Need: specifier.Resources{MilliCores: 2000}},
		4: {Count: 8, Need: specifier.Resources{MilliCores: 2000, MemoryMB: 50}},
		2: {Count: 2, Need: specifier.Resources{MemoryMB: 90}},
	} {
		require.Equal(t, want, subject.Waves("a", step))
		require.Equal(t, 1, subject.Waves("b", step))
		step.Gang = true
		require.Equal(t, 1, subject.Waves("a", step))
	}
}

// TestCheckRefusesJobsThatNeverFit guards against an accepted job that can never run, and against a refused one that can.
func TestCheckRefusesJobsThatNeverFit(t *testing.T) {
	teams := teamWith(specifier.Resources{MilliCores: 10_000, MemoryMB: 100})
	for _, c := range []struct {
		step specifier.Step
		want string
	}{
		{specifier.Step{Count: 5, Need: specifier.Resources{MilliCores: 2000, MemoryMB: 20, Accelerators: 1}, Gang: true}, ""},
		{
			specifier.Step{Count: 6, Need: specifier.Resources{MilliCores: 2000, MemoryMB: 10}, Gang: true},
			"step 0: a gang of 6 needs 12000 millicores, 60 MB; team a may run 10000 millicores, 100 MB at a time",
		},
		{specifier.Step{Count: 600, Need: specifier.Resources{MilliCores: 2000}}, ""},
		{
			specifier.Step{Count: 1, Need: specifier.Resources{MemoryMB: 101}},
			"step 0: a task needs 0 millicores, 101 MB; team a may run 10000 millicores, 100 MB at a time",
		},
	} {
		job := specifier.Job{Team: "a", Steps: []specifier.Step{c.step}}
		err := accountant.Check(teams, job)
		if c.want == "" {
			require.NoError(t, err)
			continue
		}
		require.EqualError(t, err, c.want)
		require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
		job.Team = "b"
		require.NoError(t, accountant.Check(teams, job))
	}
}

// TestOutlookTellsWhenTasksFit guards against a wrong time until a gang fits, and against waiting for one that never does.
func TestOutlookTellsWhenTasksFit(t *testing.T) {
	subject, need := accountant.New(), specifier.Resources{MilliCores: 10}
	subject.Configure(teamWith(specifier.Resources{MilliCores: 100}))
	subject.Take("a", need.Times(10))
	var outlook accountant.Outlook
	outlook.AddLasting(need.Times(3))
	for i := range 7 {
		outlook.Add(time.Duration(i)*time.Second, need)
	}
	require.Equal(t, need.Times(3), outlook.Within(2100*time.Millisecond))
	require.Equal(t, 2100*time.Millisecond, subject.TimeUntil("a", need, 3, &outlook))
	require.Equal(t, time.Duration(0), subject.TimeUntil("a", need, 0, &outlook))
	require.Equal(t, accountant.Horizon, subject.TimeUntil("a", need, 8, &outlook))
	require.True(t, subject.Allows("a", need, 7, &outlook))
	require.False(t, subject.Allows("a", need, 8, &outlook))
	require.True(t, subject.Allows("a", need, 10, nil))
}

// BenchmarkFits measures the question that each waiting step asks in each placement pass.
func BenchmarkFits(b *testing.B) {
	subject := accountant.New()
	subject.Configure(teamWith(specifier.Resources{MilliCores: 10_000, MemoryMB: 100}))
	for b.Loop() {
		subject.Fits("a", specifier.Resources{MilliCores: 900, MemoryMB: 3}, 80)
	}
}
