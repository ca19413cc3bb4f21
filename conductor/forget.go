package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// expire asks to forget jobs that have been final for long. They stay known until their keys are gone, because a job
// that is listed again and not known would start again.
func (c *Conductor) expire(now time.Time) {
	if !c.expirePass.begin(now) {
		return
	}
	var old []specifier.JobID
	for id, j := range c.jobs {
		if len(old) == forgetBatch {
			break
		}
		if j.State().Final() && !j.dirty && !j.inFlight && !j.forgetting && now.Sub(j.FinalAt()) > c.settings.keepFinal {
			j.forgetting = true
			old = append(old, id)
		}
	}
	if len(old) > 0 {
		c.emit(Forget{Jobs: old})
	}
}

func (c *Conductor) forgotten(e Forgotten) {
	for _, id := range e.Jobs {
		j := c.jobs[id]
		switch {
		case j == nil:
		case e.Done:
			delete(c.jobs, id)
		default:
			j.forgetting = false
		}
	}
}
