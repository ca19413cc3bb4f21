//go:build review

// Case 3 cuts the worker of a lasting task off soon after two of its starts. The workers run on.
package scripts

import (
	"time"
)

const (
	// cuts is the number of cuts, each of one of 48 workers.
	cuts = 2
	// cutAfter is the time from the start of the task to the cut, and cutTime how long it lasts: for_s of node_cut in the site
	// file.
	cutAfter = 300 * time.Millisecond
	cutTime  = 5500 * time.Millisecond
	// watched is how long the job is watched after the last cut.
	watched = 30 * time.Second
)

func case3() {
	starts := make(chan *Worker, 100)
	c, ok := NewCell(Options{
		Folder: "review/3", Instances: 7, Workers: 48,
		Work:    func(*Run) (time.Duration, string) { return 0, "" },
		OnStart: func(w *Worker, _ *Run) { starts <- w },
	})
	if !ok {
		c.Exit(CannotRun)
	}
	if !c.Submit(job, Job{
		Spec: "dispatch desk", Steps: []Step{{Count: 1, CPU: 4000, Memory: 4096, Estimated: 30000, LongRunning: true}},
	}) {
		c.Exit(CannotRun)
	}
	for range cuts {
		var w *Worker
		select {
		case w = <-starts:
		case <-time.After(20 * time.Second):
			c.Record("the task does not run")
			c.Exit(CannotRun)
		}
		if !c.Trouble {
			break
		}
		time.Sleep(cutAfter)
		w.SetCut(true)
		time.AfterFunc(cutTime, func() { w.SetCut(false) })
	}
	time.Sleep(cutTime)
	failed, lastState := false, ""
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(2 * time.Second) {
		lastState = c.State(job)
		failed = failed || lastState == "failed"
	}
	c.Halt()
	failedEnds, running := 0, false
	for _, r := range c.RunsOf(job) {
		if r.How == "failed" {
			failedEnds++
		}
		if r.Ended.IsZero() {
			running = true
		}
	}
	c.Record("%d runs, %d of them ended failed; last state %q; a run is at work: %t", len(c.RunsOf(job)), failedEnds, lastState,
		running)
	if failed || !running {
		c.Record("LOST: the job is shown as failed, or its task does not run %s after the last cut", watched)
		c.Exit(Broken)
	}
	c.Exit(Held)
}
