package conductor_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTeamAtLimitIsExplainedByLog guards against a job that waits for the limit of its team without a line that says so, as
// docs/OPERATIONS.md promises, and against such a line in each placement pass.
func TestTeamAtLimitIsExplainedByLog(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.configure(map[string]int64{"a": 60})
	w.at(w.start.Add(seconds(1)), func() { w.submit(newJob(1, jobOptions{Team: "a", Tasks: 5, MilliCores: 10000, Seconds: 4})) })
	w.at(w.start.Add(seconds(1.5)), func() {
		w.submit(newJob(2, jobOptions{Team: "a", Tasks: 4, MilliCores: 10000, Seconds: 4, Gang: true, Priority: 1}))
	})
	w.at(w.start.Add(seconds(2)), func() {
		w.submit(newJob(3, jobOptions{Team: "a", Tasks: 1, MilliCores: 10000, Seconds: 9, Priority: 2}))
	})
	w.at(w.start.Add(seconds(3)), func() {
		w.submit(newJob(4, jobOptions{Team: "a", Tasks: 1, MilliCores: 10000, Seconds: 9, Priority: 2}))
	})
	w.runUntil(seconds(12))
	lines := func(parts ...string) int {
		count := 0
		for _, line := range w.decisions {
			found := true
			for _, part := range parts {
				found = found && strings.Contains(line, part)
			}
			if found {
				count++
			}
		}
		return count
	}
	require.Equal(t, 1, lines("TeamAtLimit", "job2", "team a has 50000 millicores of 60000 millicores", "4 tasks wait that need 10000 millicores each, 4 of them at once"))
	require.Equal(t, 1, lines("TeamAtLimit"))
	require.Equal(t, 1, lines("QuotaKept", "job2", "expected after 2"))
	require.GreaterOrEqual(t, lines("StepWaitsForQuota", "job2"), 1)
	require.GreaterOrEqual(t, lines("StepWaitsForQuota", "job4", "40000 millicores is kept for the gang job2"), 1)
	require.LessOrEqual(t, lines("StepWaitsForQuota"), 6)
	require.Empty(t, w.violations)
}
