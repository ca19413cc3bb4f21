//go:build review

package standins

import (
	"fmt"
	"time"
)

// cases are the scripts by their names. Each returns the rules that were broken.
var cases = map[string]func(c *cell, trouble bool) ([]string, error){
	"malformed": malformed,
	"services":  services,
	"kinds":     kinds,
	"held":      held,
	"deadly":    deadly,
}

// finishTime is finish_s of the site: when jobs are asked for after the end of the traffic.
const finishTime = 14 * time.Second

// maxAttempts is the bound of the queue on the failed runs of a task.
const maxAttempts = 3

var usual = kind{labels: []string{"a", "r1-1"}, cpu: 64000, mem: 131072}

func (c *cell) start(workers, instances, maxAttempts int) error {
	if err := c.writeConfiguration(maxAttempts); err != nil {
		return errCannotRun{err}
	}
	if err := c.addWorkers(workers, usual); err != nil {
		return errCannotRun{err}
	}
	return c.addInstances(instances)
}

func jobID(n int) string {
	return fmt.Sprintf("5c0e7a21d94b%04x", n)
}

// malformed: one client sends a job of which a step has an impossible number of tasks.
func malformed(c *cell, trouble bool) ([]string, error) {
	if err := c.start(8, 3, maxAttempts); err != nil {
		return nil, err
	}
	var jobs []*job
	for n := range 6 {
		j := &job{id: jobID(n), spec: taskSpec{Work: 6 * time.Second}, steps: []step{{Count: 4, CPU: 5000, Memory: 4000, Estimated: 6000}}}
		jobs = append(jobs, j)
	}
	if err := c.mustSubmit(jobs...); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		body := `{"spec":"{}","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":900},` +
			`{"count":9223372036854775807,"cpu":500,"mem_mb":256,"estimated_ms":900}]}`
		status, _ := c.call(c.instances[0], "POST", prefix+"5c0e7a21d94bffff", []byte(body))
		c.note("POST of the malformed job to %s: %d", c.instances[0].name, status)
	}
	for n := 6; n < 12; n++ {
		j := &job{id: jobID(n), spec: taskSpec{Work: time.Second}, steps: []step{{Count: 2, CPU: 5000, Memory: 4000, Estimated: 1000}}}
		c.submit(j)
		jobs = append(jobs, j)
	}
	time.Sleep(finishTime)
	broken := c.watchIdleJobs(jobs, 8*time.Second)
	for _, j := range jobs {
		c.note("job %s: %s", j.id, c.stateAnywhere(j.id))
	}
	for _, i := range c.instances {
		c.note("process of %s ended %d times by itself", i.name, i.endsByItself())
	}
	return broken, nil
}

// services: the tasks of two jobs that last fail now and then, as such tasks may at any time.
func services(c *cell, trouble bool) ([]string, error) {
	if err := c.start(6, 3, maxAttempts); err != nil {
		return nil, err
	}
	spec := taskSpec{Stagger: 600 * time.Millisecond}
	if trouble {
		spec.FailAfter = []time.Duration{3 * time.Second, 4 * time.Second, 3 * time.Second, 4 * time.Second, 3 * time.Second, 0}
	}
	var jobs []*job
	for n := range 2 {
		j := &job{id: jobID(n), spec: spec, steps: []step{{Count: 12, CPU: 5000, Memory: 4000, Estimated: 60000, LongRunning: true}}}
		jobs = append(jobs, j)
	}
	if err := c.mustSubmit(jobs...); err != nil {
		return nil, err
	}
	time.Sleep(40 * time.Second)
	late := &job{id: jobID(9), spec: taskSpec{Work: 2 * time.Second}, steps: []step{{Count: 4, CPU: 5000, Memory: 4000, Estimated: 2000}}}
	if err := c.mustSubmit(late); err != nil {
		return nil, err
	}
	lasting := make(chan []string)
	go func() { lasting <- c.watchLastingTasks(jobs, 20*time.Second) }()
	broken := c.watchIdleJobs([]*job{late}, 20*time.Second)
	return append(<-lasting, broken...), nil
}

// crashFor crashes the worker, which starts again after a time under its id and address.
func (w *worker) crashFor(down time.Duration, k kind) error {
	w.mu.Lock()
	id, address := w.id, w.address
	w.mu.Unlock()
	w.crash()
	time.Sleep(down)
	return w.boot(id, address, k)
}

// kinds: workers crash and start again under their ids as workers of another kind, while more tasks wait than fit.
func kinds(c *cell, trouble bool) ([]string, error) {
	if err := c.start(10, 3, maxAttempts); err != nil {
		return nil, err
	}
	go func() {
		for n := 0; c.ctx.Err() == nil; n++ {
			go c.submit(&job{id: jobID(n), spec: taskSpec{Work: 1500 * time.Millisecond}, steps: []step{{
				Count: 4, CPU: 15000, Memory: 4000, Estimated: 1500, Requirements: "a",
			}}})
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(10 * time.Second)
	if err := c.checkAnyRun(); err != nil {
		return nil, err
	}
	for n := range 6 {
		if trouble {
			if err := c.workers[n].crashFor(time.Second, kind{labels: []string{"b", "r1-1"}, cpu: usual.cpu, mem: usual.mem}); err != nil {
				return nil, errCannotRun{err}
			}
		}
		time.Sleep(5 * time.Second)
	}
	return c.misplaced("a"), nil
}

// held: a task that lasts fails once while a gang waits until there is room for it.
func held(c *cell, trouble bool) ([]string, error) {
	if err := c.start(4, 3, maxAttempts); err != nil {
		return nil, err
	}
	spec := taskSpec{}
	if trouble {
		spec.FailAfter = []time.Duration{28 * time.Second, 0}
		spec.Stagger = time.Hour
	}
	lasting := &job{id: jobID(0), spec: spec, steps: []step{{
		Count: 4, CPU: 8000, Memory: 4000, Estimated: 60000, AntiAffinity: 1, LongRunning: true,
	}}}
	batch := &job{id: jobID(1), spec: taskSpec{Work: 60 * time.Second}, steps: []step{{
		Count: 8, CPU: 20000, Memory: 4000, Estimated: 60000, AntiAffinity: 2,
	}}}
	gang := &job{id: jobID(2), spec: taskSpec{Work: 10 * time.Second}, steps: []step{{
		Count: 4, CPU: 50000, Memory: 4000, Estimated: 20000, Gang: true,
	}}}
	if err := c.mustSubmit(lasting); err != nil {
		return nil, err
	}
	if err := c.awaitRunning(lasting, 4); err != nil {
		return nil, err
	}
	if err := c.mustSubmit(batch); err != nil {
		return nil, err
	}
	if err := c.awaitRunning(batch, 8); err != nil {
		return nil, err
	}
	if err := c.mustSubmit(gang); err != nil {
		return nil, err
	}
	return c.watchLastingTasks([]*job{lasting}, 55*time.Second), nil
}

// deadly: a task crashes each worker that starts it some time after its start.
func deadly(c *cell, trouble bool) ([]string, error) {
	if err := c.start(10, 3, maxAttempts); err != nil {
		return nil, err
	}
	spec := taskSpec{Work: 4 * time.Second}
	if trouble {
		spec.CrashAfter = 1900 * time.Millisecond
	}
	j := &job{id: jobID(0), spec: spec, steps: []step{{Count: 1, CPU: 5000, Memory: 4000, Estimated: 4000}}}
	if err := c.mustSubmit(j); err != nil {
		return nil, err
	}
	time.Sleep(65 * time.Second)
	crashed, after := 0, 0
	for _, r := range c.runsOf(j.id) {
		if crashed >= 3 {
			after++
		}
		if r.how == "crash" {
			crashed++
		}
	}
	c.note("%d workers have crashed under the task; state %s", crashed, c.stateAnywhere(j.id))
	if after >= 3 {
		return []string{fmt.Sprintf("BUDGET: the task was started %d times after three workers had crashed under it; %d crashed in all", after, crashed)}, nil
	}
	return nil, nil
}
