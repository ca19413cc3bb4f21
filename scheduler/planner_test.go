package scheduler_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/scheduler"
	"egretring.example/egretring/ticketer"
)

// planningMember returns the live member that holds the key Cell/Planner, or nil when there is none.
func (c *cell) planningMember() *member {
	entry, err := c.store.Get(c.t.Context(), "Cell/Planner")
	require.NoError(c.t, err)
	var record scheduler.PlannerRecord
	if entry.Version == 0 {
		return nil
	}
	require.NoError(c.t, json.Unmarshal(entry.Value, &record))
	for _, m := range c.members {
		if m.registrar.Owner().Instance == record.Instance && !m.isCrashed() {
			return m
		}
	}
	return nil
}

// TestPlanSurvivesChangeOfPlanningMember guards against a plan that moves or repeats tasks when the planning member
// changes, and against a paused planning member that overwrites the plan of its successor when it resumes.
func TestPlanSurvivesChangeOfPlanningMember(t *testing.T) {
	stops := map[string]func(*member){
		"dies": (*member).stop,
		"pauses": func(m *member) {
			m.pause()
			time.AfterFunc(25*time.Second, m.resume)
		},
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			runCell(t, []describer.AvailabilityZoneID{zoneA, zoneB}, configured(), func(t *testing.T, c *cell) {
				first := c.planningMember()
				require.NotNil(t, first)
				stop(first)
				shrunk := job("night", describer.BatchJob, 3)
				c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("night", &shrunk).WithJob("web", nil) })
				added := job("more", describer.ServiceJob, 4)
				c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("more", &added) })
				c.advance(recoveryTime)
				require.NotEqual(t, first, c.planningMember())
				require.Equal(t, map[describer.JobID]int{"night": 3, "train": 4, "more": 4}, c.running())
			}, moderateUse)
		})
	}
}

// TestPlanIsWrittenUnderSteadyChanges guards against jobs that do not start as long as others are submitted or changed at
// short intervals, because the write of the plan is postponed each time.
func TestPlanIsWrittenUnderSteadyChanges(t *testing.T) {
	runCell(t, []describer.AvailabilityZoneID{zoneA}, configured(), func(t *testing.T, c *cell) {
		first := job("first", describer.ServiceJob, 1)
		c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("web", nil).WithJob("first", &first) })
		for i := range 150 {
			other := job("other", describer.BatchJob, 1+i%3)
			c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("other", &other) })
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 1, c.running()["first"])
	}, moderateUse)
}
