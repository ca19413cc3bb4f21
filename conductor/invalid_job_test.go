package conductor_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// TestStoredJobThatCannotRunFails guards against an owner whose process ends, again after each restart, because of a stored job
// that an earlier version of the program has accepted, and against such a job that stays in the store for good.
func TestStoredJobThatCannotRunFails(t *testing.T) {
	steps := func(steps ...specifier.Step) specifier.Job { return specifier.Job{Steps: steps} }
	cases := map[string]specifier.Job{
		"sum of tasks overflows":  steps(specifier.Step{Count: 1}, specifier.Step{Count: math.MaxInt}),
		"negative number":         steps(specifier.Step{Count: -1}),
		"unknown step":            steps(specifier.Step{Count: 1, After: []int{7}}),
		"step after itself":       steps(specifier.Step{Count: 1, After: []int{0}}),
		"amounts overflow":        steps(specifier.Step{Count: 2, Need: specifier.Resources{MilliCores: math.MaxInt64}}),
		"estimates overflow":      steps(specifier.Step{Count: 1, Estimate: math.MaxInt64}, specifier.Step{Count: 1, Estimate: math.MaxInt64, After: []int{0}}),
		"negative occurrences":    {Occurrences: -1, Steps: []specifier.Step{{Count: 1}}},
		"negative interval":       {Occurrences: 2, Interval: -1, First: time.Unix(1, 0), Steps: []specifier.Step{{Count: 1}}},
		"year after the last one": {Occurrences: 2, First: time.UnixMilli(math.MaxInt64), Steps: []specifier.Step{{Count: 1}}},
	}
	for name, job := range cases {
		t.Run(name, func(t *testing.T) {
			job.ID, job.AcceptedAt = "j1", time.Unix(1_700_000_000, 0)
			arrived := conductor.New(job.AcceptedAt, 1)
			arrived.Handle(job.AcceptedAt, conductor.JobArrived{Job: job})
			restored := conductor.New(job.AcceptedAt, 1)
			placed := lifecycler.Record{Steps: []lifecycler.StepRecord{{Tasks: []lifecycler.TaskRecord{{State: lifecycler.Placed, Run: 1, Server: "s1"}}}}}
			loaded, err := lifecycler.Restore(job, placed)
			require.NoError(t, err)
			restored.Restore(job.AcceptedAt, loaded)
			for _, owner := range []*conductor.Conductor{arrived, restored} {
				commits := commandsOf[conductor.Commit](owner.Plan(job.AcceptedAt))
				require.Len(t, commits, 1)
				require.Len(t, commits[0].Changes, 1)
				require.True(t, commits[0].Changes[0].Final, "the store keeps the submission")
				owner.Handle(job.AcceptedAt, conductor.CommitEnded{Lane: commits[0].Lane})
				state, known := owner.State(job.ID)
				require.True(t, known)
				require.Equal(t, specifier.Failed, state)
				owner.Handle(job.AcceptedAt, conductor.JobCancelled{Job: job.ID})
				require.Empty(t, commandsOf[conductor.Commit](owner.Plan(job.AcceptedAt.Add(time.Second))))
			}
		})
	}
}
