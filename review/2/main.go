//go:build review

// Command 2 plays an outage of the store while the tasks of a large job end on one worker.
package main

import (
	"hash/fnv"
	"time"

	"egretring.example/egretring/review/standin"
)

const (
	job = "5c0e7a21d94b36f8"
	// tasks of a tenth of a core fill one worker of 64 cores.
	tasks   = 640
	taskCPU = 100
	// outage is the longest one of the site file: platform_down, for_s = 4.5, how = "busy".
	outage = 4500 * time.Millisecond
)

// work returns how long a run works: 1.5 to 4 seconds, given by its task.
func work(r *standin.Run) (time.Duration, string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Task))
	return 1500*time.Millisecond + time.Duration(h.Sum32()%2500)*time.Millisecond, "done"
}

func main() {
	c, ok := standin.NewCell(standin.Options{Folder: "review/2", Instances: 7, Workers: 48, Work: work})
	if !ok {
		c.Exit(standin.CannotRun)
	}
	if !c.Submit(job, standin.Job{
		Spec: "label check", Steps: []standin.Step{{Count: tasks, CPU: taskCPU, Memory: 64, Estimated: 2500}},
	}) {
		c.Exit(standin.CannotRun)
	}
	if !standin.Await(10*time.Second, func() bool { return len(c.RunsOf(job)) >= tasks }) {
		c.Record("only %d of %d tasks started", len(c.RunsOf(job)), tasks)
		c.Exit(standin.CannotRun)
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
	together, again := standin.Twice(c.RunsOf(job))
	for _, r := range append(together, again...) {
		c.Record("TWICE: start of %s run %d on %s after a run that ended done", r.Task, r.Number, r.Worker)
	}
	c.Record("%d runs of %d tasks, state %q; %d started beside another run of their task, %d after one that had ended done",
		len(c.RunsOf(job)), tasks, state, len(together), len(again))
	switch {
	case len(together)+len(again) > 0:
		c.Exit(standin.Broken)
	case state != "completed":
		c.Exit(standin.CannotRun)
	}
	c.Exit(standin.Held)
}
