//go:build review

// Case 4 hands in four large jobs within a second, and then small ones.
package scripts

import (
	"fmt"
	"time"
)

const (
	largeJobs = 4
	// largeTasks makes the record of a started job larger than value_bytes of the store; calmTasks does not.
	largeTasks = 13_000
	calmTasks  = 500
	largeGap   = 200 * time.Millisecond
)

func case4() {
	c, ok := NewCell(Options{
		Folder: "review/4", Instances: 7, Workers: 48,
		Work: func(*Run) (time.Duration, string) { return time.Second, "done" },
	})
	if !ok {
		c.Exit(CannotRun)
	}
	tasks := calmTasks
	if c.Trouble {
		tasks = largeTasks
	}
	for n := range largeJobs {
		if !c.Submit(large(n), Job{
			Spec: "season reconciliation", Steps: []Step{{Count: tasks, CPU: 50, Memory: 32, Estimated: 1000}},
		}) {
			c.Record("large job %d was not accepted", n)
			c.Exit(CannotRun)
		}
		time.Sleep(largeGap)
	}
	time.Sleep(time.Second)
	for n := range smallJobs {
		if !c.Submit(small(n), Job{
			Spec: "chair count", Steps: []Step{{Count: 1, CPU: 1000, Memory: 256, Estimated: 1000}},
		}) {
			c.Record("small job %d was not accepted", n)
			c.Exit(CannotRun)
		}
	}
	time.Sleep(finish + lapse)
	lost := 0
	for _, id := range allJobs() {
		state, runs := c.State(id), len(c.RunsOf(id))
		if state != "completed" && runs == 0 {
			c.Record("LOST: job %s was accepted %s ago or more, its state is %q, and it has had no run", id, finish+lapse, state)
			lost++
		}
	}
	c.Record("%d of %d accepted jobs have had no run; the store refused %v", lost, largeJobs+smallJobs, c.Store.Refused())
	if lost > 0 {
		c.Exit(Broken)
	}
	c.Exit(Held)
}

func large(n int) string { return fmt.Sprintf("5c0e7a21d94b3%03x", n) }

func allJobs() []string {
	var ids []string
	for n := range largeJobs {
		ids = append(ids, large(n))
	}
	for n := range smallJobs {
		ids = append(ids, small(n))
	}
	return ids
}
