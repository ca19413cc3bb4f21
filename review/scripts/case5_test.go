//go:build review

// Case 5 hands in one job with hundreds of steps, and then small jobs.
package scripts

import (
	"time"
)

const (
	lastingJob = "7e2a9c43fb6d5000"
	// manyTasks are those of the large job: one in each step, or all in one step.
	manyTasks = 600
)

func case5() {
	c, ok := NewCell(Options{
		Folder: "review/5", Instances: 7, Workers: 48,
		Work: func(r *Run) (time.Duration, string) {
			if r.Spec == "lasts" {
				return 0, ""
			}
			return time.Second, "done"
		},
	})
	if !ok {
		c.Exit(CannotRun)
	}
	submit(c, lastingJob, Job{
		Spec: "lasts", Steps: []Step{{Count: 1, CPU: 4000, Memory: 4096, Estimated: 30000, LongRunning: true}},
	})
	if !Await(5*time.Second, func() bool { return len(c.RunsOf(lastingJob)) > 0 }) {
		c.Record("the lasting task does not run")
		c.Exit(CannotRun)
	}
	large := Job{Spec: "season reconciliation"}
	if c.Trouble {
		for range manyTasks {
			large.Steps = append(large.Steps, step(1))
		}
	} else {
		large.Steps = []Step{step(manyTasks)}
	}
	submit(c, job, large)
	time.Sleep(time.Second)
	for n := range smallJobs {
		submit(c, small(n), Job{
			Spec: "chair count", Steps: []Step{{Count: 1, CPU: 1000, Memory: 256, Estimated: 1000}},
		})
	}
	time.Sleep(finish + lapse)
	lost := 0
	for n := range smallJobs {
		if runs := len(c.RunsOf(small(n))); runs == 0 {
			c.Record("LOST: job %s was accepted %s ago or more and has had no run; its state is %q", small(n), finish+lapse,
				c.State(small(n)))
			lost++
		}
	}
	c.Halt()
	lapsed := 0
	for _, r := range c.RunsOf(lastingJob) {
		if r.How == "lapsed" {
			lapsed++
		}
	}
	c.Record("%d of %d small jobs have had no run; the large job has had %d runs; %d runs of the lasting task have lapsed",
		lost, smallJobs, len(c.RunsOf(job)), lapsed)
	if lost > 0 {
		c.Exit(Broken)
	}
	c.Exit(Held)
}

// step returns a step that needs no other one.
func step(count int) Step {
	return Step{Count: count, CPU: 500, Memory: 64, Estimated: 1000}
}

func submit(c *Cell, id string, job Job) {
	if !c.Submit(id, job) {
		c.Record("job %s was not accepted", id)
		c.Exit(CannotRun)
	}
}
