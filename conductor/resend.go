package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// maxResends bounds how often a start without a response is sent again, so that a server that responds to renewals and to no
	// start gets no task for long.
	maxResends = 2
	// gangResendTime is how long after the first start of a gang a member is sent again. The members that run wait at least 3 s for it.
	gangResendTime = 1500 * time.Millisecond
)

// mayResend reports whether a start without a response is sent to its server again, once the server has responded under a later fencing
// token and does not have the run. The next incarnation may still carry out the first start. That is no second run while the task is on
// this server, because the run of the incarnation before has ended with it.
func (c *Conductor) mayResend(now time.Time, s *session, a *allocation) bool {
	unanswered := a.state == outcomeUnknown && a.fence != 0 || a.recorded.doubtful
	if !unanswered || a.answered || a.stopping || a.resends >= maxResends || s.isOutlived(a) || s.lentTo != nil || !s.accepts(now) {
		return false
	}
	// With a ticket a late start is refused once the ticket has expired. The task is not to wait for another answer of this server.
	if a.order.Ticket != "" {
		return false
	}
	// The capacity may have shrunk since the first start.
	if !s.used.Fits(s.server.Capacity) {
		return false
	}
	// A new configuration may have lowered the limit of the team since the first start.
	if c.accounts.Exceeded(a.team, a.counted) {
		return false
	}
	j := c.jobs[a.task.Job]
	if j == nil || j.State().Final() || a.recorded.doubtful && !c.restoreOrder(j, a) {
		return false
	}
	return !j.inGang(a.task) || now.Sub(a.firstSentAt) < gangResendTime
}

// restoreOrder makes the start order of a run from the record of an earlier owner, whose start may have got no response. It reports
// whether that is possible: not with advice, because the record has no ticket.
func (c *Conductor) restoreOrder(j *job, a *allocation) bool {
	step, ok := j.Step(a.task.StepID)
	if !ok || j.queue.Advice.Needed || step.Spec.Gang {
		return false
	}
	a.order = specifier.StartOrder{
		Task: a.task, Run: a.run, Spec: j.Spec.Spec, Checkpoint: step.SharedCheckpoint(a.task.Index),
	}
	return true
}

// resend sends a start again, under the present fencing token. Its record is in the store.
func (c *Conductor) resend(now time.Time, s *session, a *allocation) {
	a.resends++
	c.logDecision("StartResent", a.task, a.run, s.server.ID, "")
	c.sendStart(now, s, a)
}
