package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestPostponementStartsAnew guards against a service that restarts because the plan between the withdrawal and the new
// assignment of its tasks is written, after the shard has waited for the store for longer than changes may postpone it.
func TestPostponementStartsAnew(t *testing.T) {
	table := newPlanTable()
	now := time.Now()
	change := func() {
		table.submit(describer.Job{ID: "web", Tasks: 1}, 1)
		table.postpone(now, planShardOf("web"))
	}
	change()
	now = now.Add(maxSubmitPause + time.Millisecond)
	change()
	_, writes := table.nextWrite(now, 1)
	require.False(t, writes)
	now = now.Add(submitPause)
	_, writes = table.nextWrite(now, 1)
	require.True(t, writes)
}

// TestSteadyChangesDelayShardBriefly guards against a shard that is never written, because one of its jobs changes just
// before each time at which it could be written.
func TestSteadyChangesDelayShardBriefly(t *testing.T) {
	for _, interval := range []time.Duration{planningTick, submitPause, 3 * planningTick} {
		table := newPlanTable()
		begin := time.Now()
		written := false
		for now := begin; now.Sub(begin) <= 2*maxSubmitPause && !written; now = now.Add(planningTick) {
			if now.Sub(begin)%interval == 0 {
				table.submit(describer.Job{ID: "web", Tasks: 1}, 1)
				table.postpone(now, planShardOf("web"))
			}
			_, written = table.nextWrite(now, 1)
		}
		require.True(t, written, interval)
	}
}
