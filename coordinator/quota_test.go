package coordinator_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
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
	runWithCell(t, 1, func(t *testing.T, c *cell) {
		c.limitTeam(t, 4000)
		measured = c.meter
		require.NoError(t, c.submitGang(0, longJob, 3))
		time.Sleep(4 * time.Second)
		running, limit := quotaGauges(t, measured)
		require.InDelta(t, 3000, running, 0)
		require.InDelta(t, 4000, limit, 0)
	})
	running, _ := quotaGauges(t, measured)
	require.Zero(t, running)
}

// TestConfigurationDuringRecoveryCounts guards against an owner that goes on with earlier limits, or with none, because a configuration
// arrived while it read the jobs from the store.
func TestConfigurationDuringRecoveryCounts(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.limitTeam(t, 4000)
		c.stores[1].listDelay.Store(int64(8 * time.Second))
		require.NoError(t, c.instances[0].Stop())
		c.instances[0] = nil
		for !strings.Contains(c.owner(), "instance-1") {
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		c.stores[1].listDelay.Store(0)
		c.limitTeam(t, 2000)
		time.Sleep(20 * time.Second)
		require.NoError(t, c.submitGang(1, longJob, 2))
		time.Sleep(4 * time.Second)
		running, limit := quotaGauges(t, c.meter)
		require.InDelta(t, 2000, running, 0)
		require.InDelta(t, 2000, limit, 0)
	})
}

// quotaGauges returns the thousandths of cores that the team has running, and its limit.
func quotaGauges(t *testing.T, measured *meter.Meter) (running, limit float64) {
	t.Helper()
	recorder := httptest.NewRecorder()
	measured.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var page map[string]map[string]float64
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
	return page["Teams.t.RunningMilliCores"]["value"], page["Teams.t.LimitMilliCores"]["value"]
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
