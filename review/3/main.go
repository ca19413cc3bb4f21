//go:build review

// Command 3 crashes the worker of a lasting task soon after two of its starts.
package main

import (
	"time"

	"egretring.example/egretring/review/standin"
)

const (
	job = "5c0e7a21d94b36f8"
	// crashes is the number of crashes, each of one of 48 workers.
	crashes = 2
	// crashAfter is the time from the start of the task to the crash, and downTime how long the worker is down.
	crashAfter = 300 * time.Millisecond
	downTime   = time.Second
	// watched is how long the job is watched after the last crash.
	watched = 30 * time.Second
)

func main() {
	starts := make(chan *standin.Worker, 100)
	c, ok := standin.NewCell(standin.Options{
		Folder: "review/3", Instances: 7, Workers: 48,
		Work:    func(*standin.Run) (time.Duration, string) { return 0, "" },
		OnStart: func(w *standin.Worker, _ *standin.Run) { starts <- w },
	})
	if !ok {
		c.Exit(standin.CannotRun)
	}
	if !c.Submit(job, standin.Job{
		Spec: "dispatch desk", Steps: []standin.Step{{Count: 1, CPU: 4000, Memory: 4096, Estimated: 30000, LongRunning: true}},
	}) {
		c.Exit(standin.CannotRun)
	}
	for range crashes {
		var w *standin.Worker
		select {
		case w = <-starts:
		case <-time.After(20 * time.Second):
			c.Record("the task does not run")
			c.Exit(standin.CannotRun)
		}
		if !c.Trouble {
			break
		}
		time.Sleep(crashAfter)
		w.Crash()
		time.Sleep(downTime)
		if err := w.Start(); err != nil {
			c.Record("worker %s does not start again: %v", w.ID, err)
			c.Exit(standin.CannotRun)
		}
		c.Record("worker %s is back", w.ID)
	}
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
		c.Record("LOST: the job is shown as failed, or its task does not run %s after the last crash", watched)
		c.Exit(standin.Broken)
	}
	c.Exit(standin.Held)
}
