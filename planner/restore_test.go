package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/planner"
)

// TestRestoredPlanIsKept guards against a new planner that moves tasks which its predecessor assigned, assigns finished
// ones again, or does not count the restored tasks against the quota.
func TestRestoredPlanIsKept(t *testing.T) {
	c := newCell("hala-a", "hala-b")
	c.handle(planner.QuotasChanged{Quotas: []describer.Quota{{Team: "floor", Limit: cores(6)}}})
	night := describer.Job{ID: "night", Team: "floor", Policy: describer.BatchJob, Tasks: 10, PerTask: cores(1)}
	c.handle(planner.PlanRestored{Jobs: []planner.RestoredJob{{
		Job:      night,
		Parts:    []planner.RestoredPart{{Zone: "hala-a", First: 2, Count: 3}, {Zone: "hala-b", First: 7, Count: 1}},
		Finished: []int{0, 1},
	}}})
	c.wait(time.Second)
	require.Len(t, c.zoneOf, 2, "two of six cores are free")
	for task := range c.zoneOf {
		require.NotContains(t, []int{0, 1, 2, 3, 4, 7}, task.Index)
	}
	c.handle(planner.TasksFinished{Job: "night", Indices: []int{2, 3, 4, 7}})
	c.wait(time.Second)
	require.Len(t, c.zoneOf, 4, "all unfinished tasks")
}
