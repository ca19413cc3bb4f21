package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// TestJobIsCommittedAfterInvalidRecord guards against a job that is never committed after its encoding failed once.
func TestJobIsCommittedAfterInvalidRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(now, 1)
	spec := specifier.Job{ID: "j1", Steps: []specifier.Step{{Count: 1}}}
	c.Handle(now, JobArrived{Job: spec})
	// JSON has no times after the year 9999.
	c.Handle(time.Date(10_000, 1, 1, 0, 0, 0, 0, time.UTC), JobCancelled{Job: "j1"})
	require.Empty(t, commits(c.Plan(now)))
	j := c.jobs["j1"]
	j.Job = lifecycler.New(spec)
	c.changed(j)
	require.Equal(t, []specifier.JobID{"j1"}, commits(c.Plan(now.Add(time.Second))))
}

func commits(commands []Command) []specifier.JobID {
	var jobs []specifier.JobID
	for _, command := range commands {
		if commit, ok := command.(Commit); ok {
			for _, change := range commit.Changes {
				jobs = append(jobs, change.Job)
			}
		}
	}
	return jobs
}
