package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// idleGauge is the processor use, in thousandths of a core, below which a run counts as standing still.
	idleGauge = 1
	// idlePatience is how long a run may stand still before its server is set aside.
	idlePatience = 1500 * time.Millisecond
)

// observeProgress stops a run that has used no processor for long, so that its task can start elsewhere.
func (c *Conductor) observeProgress(now time.Time, s *session, a *allocation, r specifier.RunningTask) {
	j := c.jobs[a.task.Job]
	if j == nil || a.stopping || r.Gauge >= idleGauge || now.Sub(a.startedAt) < idlePatience {
		a.idleSince = time.Time{}
		return
	}
	if a.idleSince.IsZero() {
		a.idleSince = now
	}
}
