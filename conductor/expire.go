package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// expire requests the deletion of jobs whose final state has exceeded its retention. They stay in memory until their
// keys are deleted, because a job that is still listed in the store and unknown here would start again.
func (c *Conductor) expire(now time.Time) {
	if !c.expirePass.begin(now) {
		return
	}
	c.dropDoubts()
	c.retryUnwritable(now)
	c.forecaster.Forget(now)
	var old []specifier.JobID
	for id, j := range c.jobs {
		if len(old) == deleteBatch {
			break
		}
		committed := !j.dirty && !j.inFlight && j.Committed() >= j.Version()
		if j.State().Final() && committed && !j.deleting && now.Sub(j.finalSince()) > c.settings.finalRetention {
			j.deleting = true
			old = append(old, id)
		}
	}
	if len(old) > 0 {
		c.emit(DeleteJobs{Jobs: old})
	}
}

func (c *Conductor) jobsDeleted(e JobsDeleted) {
	for _, id := range e.Jobs {
		j := c.jobs[id]
		switch {
		case j == nil:
		case e.Done:
			delete(c.jobs, id)
		default:
			j.deleting = false
		}
	}
}
