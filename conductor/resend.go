package conductor

import "time"

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
	if a.state != outcomeUnknown || a.answered || a.stopping || a.fence == 0 || a.resends >= maxResends || s.isOutlived(a) || !s.usable(now) {
		return false
	}
	j := c.jobs[a.task.Job]
	if j == nil || j.State().Final() {
		return false
	}
	return !j.inGang(a.task) || now.Sub(a.firstSentAt) < gangResendTime
}

// resend sends a start again, under the present fencing token. Its record is in the store.
func (c *Conductor) resend(now time.Time, s *session, a *allocation) {
	a.resends++
	c.logDecision("StartResent", a.task, a.run, s.server.ID, "")
	c.sendStart(now, s, a)
}
