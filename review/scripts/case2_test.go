//go:build review

// Case 2 plays an outage of the store while the tasks of a large job end on one worker.
package scripts

import (
	"hash/fnv"
	"time"
)

const (
	// fillingTasks tasks of a tenth of a core fill one worker of 64 cores.
	fillingTasks = 640
	taskCPU      = 100
	// outage is the longest one of the site file: platform_down, for_s = 4.5, how = "busy".
	outage = 4500 * time.Millisecond
)

// workByTask returns how long a run works: 1.5 to 4 seconds, given by its task.
func workByTask(r *Run) (time.Duration, string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Task))
	return 1500*time.Millisecond + time.Duration(h.Sum32()%2500)*time.Millisecond, "done"
}

func case2() {
	c, ok := NewCell(Options{Folder: "review/2", Instances: 7, Workers: 48, Work: workByTask})
	if !ok {
		c.Exit(CannotRun)
	}
	if !c.Submit(job, Job{
		Spec: "label check", Steps: []Step{{Count: fillingTasks, CPU: taskCPU, Memory: 64, Estimated: 2500}},
	}) {
		c.Exit(CannotRun)
	}
	if !Await(10*time.Second, func() bool { return len(c.RunsOf(job)) >= fillingTasks }) {
		c.Record("only %d of %d tasks started", len(c.RunsOf(job)), fillingTasks)
		c.Exit(CannotRun)
	}
	if c.Trouble {
		c.Record("store is down")
		c.Store.SetDown(true)
		time.Sleep(outage)
		c.Store.SetDown(false)
		c.Record("store is back")
	}
	time.Sleep(20 * time.Second)
	state := c.State(job)
	c.Halt()
	together, again := Twice(c.RunsOf(job))
	for _, r := range append(together, again...) {
		c.Record("TWICE: start of %s run %d on %s after a run that ended done", r.Task, r.Number, r.Worker)
	}
	c.Record("%d runs of %d tasks, state %q; %d started beside another run of their task, %d after one that had ended done",
		len(c.RunsOf(job)), fillingTasks, state, len(together), len(again))
	switch {
	case len(together)+len(again) > 0:
		c.Exit(Broken)
	case state != "completed":
		c.Exit(CannotRun)
	}
	c.Exit(Held)
}
