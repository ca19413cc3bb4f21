package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// updateWaves recomputes the critical paths of a job of a team by the limit of the team. It reports whether they have changed.
func (c *Conductor) updateWaves(j *job) bool {
	team := j.Spec.Team
	if team == "" {
		return false
	}
	waved := false
	paths := lifecycler.CriticalPaths(j.Spec.Steps, func(step specifier.Step) time.Duration {
		waves := c.accounts.Waves(team, step)
		waved = waved || waves > 1
		// A job has a few steps; the bound keeps their sum from overflowing.
		longest := float64(maxObjective) / float64(len(j.Spec.Steps))
		return time.Duration(min(float64(step.Estimate)*float64(waves), longest))
	})
	if !waved {
		paths = nil
	}
	changed := !slices.Equal(paths, j.wavedPaths)
	j.wavedPaths = paths
	return changed
}

// CriticalPath is that of lifecycler.Job with the waves of wide steps.
func (j *job) CriticalPath() time.Duration {
	if j.wavedPaths != nil {
		return slices.Max(j.wavedPaths)
	}
	return j.Job.CriticalPath()
}

// RemainingTime is that of lifecycler.Job with the waves of wide steps.
func (j *job) RemainingTime(step int) time.Duration {
	if j.wavedPaths != nil {
		return j.wavedPaths[step]
	}
	return j.Job.RemainingTime(step)
}
