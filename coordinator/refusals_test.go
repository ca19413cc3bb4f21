package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/specifier"
)

// submitAs submits a job of a team that takes half of the backend server.
func (c *cell) submitAs(instance int, team, id string) error {
	queue, err := c.instances[instance].Queue("h", "/q/x")
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(c.t.Context(), callerTimeout)
	defer cancel()
	return c.instances[instance].Submit(ctx, specifier.Job{ID: specifier.JobID(id), Team: team, Queue: queue, Steps: []specifier.Step{{
		Count: 1, Need: specifier.Resources{MilliCores: 32000}, Estimate: runTime,
	}}})
}

// TestFloodIsRefusedEarly guards against a flood that entry instances accept although it cannot be served, against refusals of other teams
// and of jobs that are stored already, against a refused job that is stored or is refused again when it returns, and against refusals after
// the flood.
func TestFloodIsRefusedEarly(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		c.mu.Lock()
		c.current.Version, c.current.Revision = 2, 2
		c.current.Teams = specifier.NewTeams(specifier.Team{Name: "flood", Weight: 2}, specifier.Team{Name: "other", Weight: 2})
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		var accepted, refused []string
		retryAt := make(map[string]time.Time)
		for i := range 200 {
			time.Sleep(100 * time.Millisecond)
			id := fmt.Sprintf("flood-%d", i)
			err := c.submitAs(i%2, "flood", id)
			if err == nil {
				accepted = append(accepted, id)
			} else {
				require.True(t, classifier.IsErrKind(err, classifier.LimitReached), "%v", err)
				refused = append(refused, id)
				retryAt[id] = classifier.RetryAtOf(err)
			}
			if i%10 == 0 {
				require.NoError(t, c.submitAs(i%3, "other", fmt.Sprintf("other-%d", i)))
			}
			for instance := range 2 {
				require.NoError(t, c.submitAs(instance, "flood", accepted[0]), "a job that is stored")
			}
			if len(refused) == 20 && err != nil {
				// The last instance has sent no submission of the team, and learns the refusals with the configuration.
				_, err := c.instances[2].NewerConfiguration(t.Context(), 2, 0)
				require.NoError(t, err)
				require.True(t, classifier.IsErrKind(c.submitAs(2, "flood", id), classifier.LimitReached))
			}
		}
		require.Greater(t, len(refused), 20)
		for _, id := range refused {
			for instance := range c.instances {
				_, known, err := c.instances[instance].State(t.Context(), specifier.Caller{Unchecked: true}, specifier.JobID(id))
				require.NoError(t, err)
				require.False(t, known)
			}
		}
		last := refused[len(refused)-1]
		time.Sleep(time.Until(retryAt[last]))
		require.NoError(t, c.submitAs(0, "flood", last))
		time.Sleep(time.Minute)
		for _, id := range append(accepted, last) {
			c.servers.mu.Lock()
			starts := c.servers.starts[specifier.StepID{Job: specifier.JobID(id)}.Task(0)]
			c.servers.mu.Unlock()
			require.Equal(t, 1, starts, id)
		}
		for i := range 8 {
			require.NoError(t, c.submitAs(i%3, "flood", fmt.Sprintf("after-%d", i)))
		}
	})
}
