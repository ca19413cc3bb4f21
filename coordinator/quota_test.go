package coordinator_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
)

// TestJobBeyondQuotaIsRefused guards against an accepted job that its team may never run, on the owner and on another instance.
func TestJobBeyondQuotaIsRefused(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.limitTeam(t, 4000)
		for i := range c.instances {
			err := c.submitGang(i, specifier.JobID(rune('a'+i)), 5)
			require.EqualError(t, err, "step 0: a gang of 5 needs 5000 millicores; team t may run 4000 millicores at a time")
			require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
			_, known, err := c.instances[i].State(t.Context(), specifier.Caller{Unchecked: true}, specifier.JobID(rune('a'+i)))
			require.NoError(t, err)
			require.False(t, known)
			require.NoError(t, c.submitGang(i, specifier.JobID(rune('m'+i)), 4))
		}
		time.Sleep(6 * runTime)
		require.Equal(t, specifier.Completed, c.state(0, "m"))
		require.Equal(t, specifier.Completed, c.state(0, "n"))
	})
}

// TestAcceptedJobIsConfirmedAfterLowerLimit guards against a refusal that says that a job never runs although an earlier submission of
// it was accepted.
func TestAcceptedJobIsConfirmedAfterLowerLimit(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.limitTeam(t, 4000)
		require.NoError(t, c.submitGang(0, "a", 4))
		c.limitTeam(t, 2000)
		for i := range c.instances {
			require.NoError(t, c.submitGang(i, "a", 4))
			require.True(t, classifier.IsErrKind(c.submitGang(i, "b", 4), classifier.BadRequest))
		}
	})
}

// TestQuotaGauges guards against gauges that miss a team's runs, or go on to show them after the owner's term.
func TestQuotaGauges(t *testing.T) {
	var measured *meter.Meter
	gauges := func() (running, limit float64) {
		recorder := httptest.NewRecorder()
		measured.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		var page map[string]map[string]float64
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
		return page["Teams.t.RunningMilliCores"]["value"], page["Teams.t.LimitMilliCores"]["value"]
	}
	runWithCell(t, 1, func(t *testing.T, c *cell) {
		c.limitTeam(t, 4000)
		measured = c.meter
		require.NoError(t, c.submitGang(0, longJob, 3))
		time.Sleep(4 * time.Second)
		running, limit := gauges()
		require.InDelta(t, 3000, running, 0)
		require.InDelta(t, 4000, limit, 0)
	})
	running, _ := gauges()
	require.Zero(t, running)
}

// limitTeam configures a team with a limit in thousandths of cores, and waits until all instances use it.
func (c *cell) limitTeam(t *testing.T, milliCores int64) {
	t.Helper()
	c.mu.Lock()
	c.current.Revision++
	c.current.Teams = specifier.NewTeams(specifier.Team{Name: "t", MaxRunning: specifier.Resources{MilliCores: milliCores}})
	c.mu.Unlock()
	time.Sleep(3 * time.Second)
}

func (c *cell) submitGang(instance int, id specifier.JobID, tasks int) error {
	queue, err := c.instances[instance].Queue("h", "/q/x")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), callerTimeout)
	defer cancel()
	return c.instances[instance].Submit(ctx, specifier.Job{ID: id, Team: "t", Queue: queue, Steps: []specifier.Step{{
		Count: tasks, Need: specifier.Resources{MilliCores: 1000}, Estimate: runTime, Gang: true,
	}}})
}
