//go:build review

package standins

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// idleLimit is the time for which a job may have nothing running while a task's turn has come and there is room, and
	// lastingGrace is the time after the last run of a task that lasts from which that holds for the task.
	idleLimit    = 3 * time.Second
	lastingGrace = 6 * time.Second
	samplePause  = 50 * time.Millisecond
)

// free returns how often a task of a job's only step fits the workers that are up and may run it, and whether half of their
// capacity is in use.
func (c *cell) free(j *job) (fits int64, half bool) {
	s := j.steps[0]
	var used, total int64
	for _, w := range c.workers {
		w.mu.Lock()
		left, own := w.kind.cpu, 0
		for task, r := range w.runs {
			left -= r.cpu
			if strings.HasPrefix(task, j.id+".") {
				own++
			}
		}
		if w.up {
			used += w.kind.cpu - left
			total += w.kind.cpu
			if left > 0 && (s.AntiAffinity == 0 || own < s.AntiAffinity) {
				fits += left / s.CPU
			}
		}
		w.mu.Unlock()
	}
	return fits, 2*used >= total
}

// taskState is what the workers have seen of a task.
type taskState struct {
	running, done bool
	// idleSince is when its last run has ended, or zero if there was none.
	idleSince time.Time
}

func (c *cell) taskStates(j *job) map[string]taskState {
	states := make(map[string]taskState)
	for n, s := range j.steps {
		for index := range s.Count {
			states[fmt.Sprintf("%s.0.%d.%d", j.id, n, index)] = taskState{}
		}
	}
	for _, r := range c.runsOf(j.id) {
		state := states[r.task]
		switch {
		case r.endedAt.IsZero():
			state.running = true
		case r.endedAt.After(state.idleSince):
			state.idleSince = r.endedAt
		}
		state.done = state.done || r.how == "done"
		states[r.task] = state
	}
	return states
}

// watchIdleJobs samples jobs of one step for a time, and returns those of which the rule LOST is broken: for idleLimit nothing of
// them runs although there is room for their tasks twice over and under half of the capacity is in use.
func (c *cell) watchIdleJobs(jobs []*job, duration time.Duration) []string {
	since := make(map[string]time.Time)
	broken := make(map[string]bool)
	var lines []string
	for begun := time.Now(); time.Since(begun) < duration; time.Sleep(samplePause) {
		for _, j := range jobs {
			running, waiting := 0, 0
			for _, state := range c.taskStates(j) {
				switch {
				case state.running:
					running++
				case !state.done:
					waiting++
				}
			}
			fits, half := c.free(j)
			if !j.accepted || running > 0 || waiting == 0 || half || fits < int64(2*waiting) {
				delete(since, j.id)
				continue
			}
			if since[j.id].IsZero() {
				since[j.id] = time.Now()
			}
			if time.Since(since[j.id]) > idleLimit && !broken[j.id] {
				broken[j.id] = true
				lines = append(lines, fmt.Sprintf("LOST: accepted job %s has had nothing running for %s; %d tasks wait, and there is room for %d",
					j.id, idleLimit, waiting, fits))
			}
		}
	}
	return lines
}

// watchLastingTasks samples tasks that last for a time, and returns those of which the rule LOST is broken: for idleLimit, from
// lastingGrace after its last run, a task does not run although there is room for it twice over.
func (c *cell) watchLastingTasks(jobs []*job, duration time.Duration) []string {
	begun := time.Now()
	since := make(map[string]time.Time)
	broken := make(map[string]bool)
	var lines []string
	for ; time.Since(begun) < duration; time.Sleep(samplePause) {
		for _, j := range jobs {
			fits, _ := c.free(j)
			for task, state := range c.taskStates(j) {
				if state.running || state.idleSince.IsZero() || time.Since(state.idleSince) < lastingGrace || fits < 2 {
					delete(since, task)
					continue
				}
				if since[task].IsZero() {
					since[task] = time.Now()
				}
				if time.Since(since[task]) > idleLimit && !broken[task] {
					broken[task] = true
					lines = append(lines, fmt.Sprintf("LOST: task %s, which lasts, has not run for %.1f s; there is room for %d such tasks",
						task, time.Since(state.idleSince).Seconds(), fits))
				}
			}
		}
	}
	return lines
}

// misplaced returns the starts on workers without a label that the task requires, and those that brought a worker over its
// capacity.
func (c *cell) misplaced(label string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for _, r := range c.runs {
		if !slices.Contains(r.labels, label) {
			broken = append(broken, fmt.Sprintf("ROUTE: %s run %d started on %s, which has the labels %v and not %s",
				r.task, r.number, r.worker, r.labels, label))
		}
		if r.overload > 0 {
			broken = append(broken, fmt.Sprintf("LIMIT: the start of %s run %d brought %s %d over its cpu", r.task, r.number, r.worker, r.overload))
		}
	}
	return broken
}
