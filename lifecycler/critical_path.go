package lifecycler

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// criticalPaths returns, for each step, the sum of the estimated run times along the critical path from its start.
func criticalPaths(steps []specifier.Step) []time.Duration {
	return CriticalPaths(steps, func(step specifier.Step) time.Duration { return step.Estimate })
}

// CriticalPaths returns, for each step, the sum of the times of the steps along the critical path from its start. A step follows earlier
// ones only.
func CriticalPaths(steps []specifier.Step, timeOf func(specifier.Step) time.Duration) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i, step := range slices.Backward(steps) {
		paths[i] += timeOf(step)
		for _, before := range step.After {
			paths[before] = max(paths[before], paths[i])
		}
	}
	return paths
}

// RemainingTime returns the sum of the estimated run times along the critical path from the start of a step.
func (j *Job) RemainingTime(step int) time.Duration {
	return j.paths[step]
}

// CriticalPath returns the sum of the estimated run times along the critical path of an occurrence.
func (j *Job) CriticalPath() time.Duration {
	if len(j.paths) == 0 {
		return 0
	}
	return slices.Max(j.paths)
}
