package specifier

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxTasks limits the number of tasks of a job, so that an invalid request cannot exhaust the memory.
	MaxTasks = 100_000
	// maxAmount is the largest amount of a resource that a task may request, well above that of any server: a million cores, and a
	// petabyte of memory.
	maxAmount = 1 << 30
	// maxTime limits the sum of the estimates of a job's steps and every other time, so that no sum or multiple that schedulers
	// compute from them overflows.
	maxTime = 10 * 365 * 24 * time.Hour
	// maxYear is the last year of which JSON can encode all times in all time zones.
	maxYear = 9998
)

// Check returns an error for a job with numbers with which it cannot run. Stored jobs may have some that were accepted by an earlier
// version of the program.
func (j Job) Check() error {
	if j.Occurrences < 0 || j.Interval < 0 {
		return errors.New("schedule has a negative number")
	}
	if j.Interval > maxTime {
		return errors.Errorf("interval of the schedule is longer than %s", maxTime)
	}
	if year := j.First.UTC().Year(); j.Scheduled() && (year < 1 || year > maxYear) {
		return errors.Errorf("first occurrence is due in the year %d", year)
	}
	tasks, estimates := 0, time.Duration(0)
	for i, step := range j.Steps {
		if step.Count < 1 || step.Count > MaxTasks-tasks {
			return errors.Errorf("step %d has %d tasks; a job has from 1 to %d", i, step.Count, MaxTasks)
		}
		tasks += step.Count
		if err := step.check(i); err != nil {
			return err
		}
		if step.Estimate > maxTime-estimates {
			return errors.Errorf("estimates of the steps up to step %d add up to more than %s", i, maxTime)
		}
		estimates += step.Estimate
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Need.isNegative() || s.Estimate < 0 || s.TargetLatency < 0 || s.MaxPerServer < 0 || s.MaxUnavailable < 0 {
		return errors.Errorf("step %d has a negative number", index)
	}
	if most := (Resources{maxAmount, maxAmount, maxAmount}); !s.Need.Fits(most) {
		return errors.Errorf("step %d requests more than %d of a resource", index, int64(maxAmount))
	}
	if s.TargetLatency > maxTime {
		return errors.Errorf("target latency of step %d is longer than %s", index, maxTime)
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return errors.Errorf("step %d follows step %d, which is not an earlier one", index, predecessor)
		}
	}
	return nil
}

func (r Resources) isNegative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
