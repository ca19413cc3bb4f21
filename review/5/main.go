//go:build review

// Command 5 hands in one job with hundreds of steps, and then small jobs.
package main

import (
	"fmt"
	"time"

	"egretring.example/egretring/review/standin"
)

const (
	lastingJob = "7e2a9c43fb6d5000"
	largeJob   = "5c0e7a21d94b36f8"
	smallJobs  = 10
	// tasks are those of the large job: one in each step, or all in one step.
	tasks = 600
	// finish is finish_s of the bounds, and lapse the time in which a job must have something running.
	finish = 14 * time.Second
	lapse  = 3 * time.Second
)

func main() {
	c, ok := standin.NewCell(standin.Options{
		Folder: "review/5", Instances: 7, Workers: 48,
		Work: func(r *standin.Run) (time.Duration, string) {
			if r.Spec == "lasts" {
				return 0, ""
			}
			return time.Second, "done"
		},
	})
	if !ok {
		c.Exit(standin.CannotRun)
	}
	submit(c, lastingJob, standin.Job{
		Spec: "lasts", Steps: []standin.Step{{Count: 1, CPU: 4000, Memory: 4096, Estimated: 30000, LongRunning: true}},
	})
	if !standin.Await(5*time.Second, func() bool { return len(c.RunsOf(lastingJob)) > 0 }) {
		c.Record("the lasting task does not run")
		c.Exit(standin.CannotRun)
	}
	large := standin.Job{Spec: "season reconciliation"}
	if c.Trouble {
		for range tasks {
			large.Steps = append(large.Steps, step(1))
		}
	} else {
		large.Steps = []standin.Step{step(tasks)}
	}
	submit(c, largeJob, large)
	time.Sleep(time.Second)
	for n := range smallJobs {
		submit(c, small(n), standin.Job{
			Spec: "chair count", Steps: []standin.Step{{Count: 1, CPU: 1000, Memory: 256, Estimated: 1000}},
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
		lost, smallJobs, len(c.RunsOf(largeJob)), lapsed)
	if lost > 0 {
		c.Exit(standin.Broken)
	}
	c.Exit(standin.Held)
}

// step returns a step that needs no other one.
func step(count int) standin.Step {
	return standin.Step{Count: count, CPU: 500, Memory: 64, Estimated: 1000}
}

func small(n int) string { return fmt.Sprintf("6d1f8b32ea5c4%03x", n) }

func submit(c *standin.Cell, id string, job standin.Job) {
	if !c.Submit(id, job) {
		c.Record("job %s was not accepted", id)
		c.Exit(standin.CannotRun)
	}
}
