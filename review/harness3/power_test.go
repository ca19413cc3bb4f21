//go:build review

package harness3

import (
	"encoding/json"
	"sync"
	"time"
)

func init() {
	cases["11"] = powerLosses
}

const (
	// lossCount is how often the owner loses power, darkFor how long it is without, and lossInterval the time between two losses.
	lossCount    = 5
	darkFor      = 3 * time.Second
	lossInterval = 6 * time.Second
	// finishTime is how long after the end of the traffic all jobs have to be done or to run, and idleTime how long a job may have nothing
	// running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// powerLosses takes the power from the present owner several times, and then asks for the jobs. Only owners have connections to workers.
// What the workers have open to a machine without power stays open, because nothing tells them that it is gone.
func powerLosses(c *cell) (int, error) {
	const workers = 6
	if err := c.start(7, workers); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	accepted := make(map[string]bool)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			for range workers {
				clients.Go(func() {
					if id := newID(); c.submit(n, id, wideJob(400*time.Millisecond)) {
						mu.Lock()
						accepted[id] = true
						mu.Unlock()
					}
				})
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	for range lossCount {
		time.Sleep(lossInterval - darkFor)
		owner := c.owner()
		if owner == nil || !c.trouble {
			c.logConnections()
			time.Sleep(darkFor)
			continue
		}
		c.record.line("%s, which owns the cell, loses power", owner.name)
		for _, w := range c.workers {
			w.link.silence()
		}
		owner.kill()
		time.Sleep(darkFor)
		if err := owner.start(); err != nil {
			return 0, err
		}
		c.logConnections()
	}
	// A time without disruptions before the traffic ends.
	time.Sleep(contactTime)
	close(stop)
	clients.Wait()
	c.record.line("the traffic ends")
	time.Sleep(finishTime)
	return c.countStuck(accepted), nil
}

// owner returns the instance that owns the cell, or nil.
func (c *cell) owner() *instance {
	entry, err := c.store.Get(c.ctx, "egretring/owner")
	var value struct{ Instance string }
	if err != nil || json.Unmarshal(entry.Value, &value) != nil {
		return nil
	}
	for _, i := range c.instances {
		if i.name == value.Instance {
			return i
		}
	}
	return nil
}

func (c *cell) logConnections() {
	for _, w := range c.workers {
		c.record.line("worker %s: %d connections, %d were reset above %d", w.id, w.open.Load(), w.reset.Load(), connectionCap)
	}
}

// countStuck returns how many accepted jobs are not done and have nothing running for idleTime, while the workers are nearly idle.
func (c *cell) countStuck(accepted map[string]bool) int {
	stuck := make(map[string]bool)
	for id := range accepted {
		if state := c.stateOf(id); state != "completed" {
			c.record.line("job %s is shown as %q", id, state)
			stuck[id] = true
		}
	}
	for end := time.Now().Add(idleTime); time.Now().Before(end) && len(stuck) > 0; time.Sleep(50 * time.Millisecond) {
		running, cores := c.runningJobs()
		if cores*2 > int64(workerCores*len(c.workers)) {
			c.record.line("more than half of the capacity is in use")
			return 0
		}
		for id := range running {
			delete(stuck, id)
		}
	}
	for id := range stuck {
		c.record.line("job %s has had nothing running for %s, with most of the capacity free", id, idleTime)
	}
	c.logConnections()
	return len(stuck)
}

// runningJobs returns the jobs with runs, and the cores in use.
func (c *cell) runningJobs() (map[string]bool, int64) {
	running, cores := make(map[string]bool), int64(0)
	for _, w := range c.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			id := r.task[:16]
			running[id] = true
			cores += c.coresOf(id)
		}
		w.mu.Unlock()
	}
	return running, cores
}
