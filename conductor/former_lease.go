package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/specifier"
)

// A server that restarts under its ID cannot tell calls that were meant for an earlier incarnation from others. Their lease
// ends are on the clock of that incarnation. Clocks begin anywhere, so that the lease may last for the longest time that the
// server grants. Its responses do not show the end of its lease.

const (
	// formerCallTime is how long after the start of an incarnation calls that were meant for an earlier one may still be
	// carried out: a call without a response may be carried out seconds later.
	formerCallTime = 15 * time.Second
	// lateStartTime is how long after the lack of a response to a start the server, or its next incarnation, may still carry it
	// out. Longer delays are not covered: the task would wait for as much longer.
	lateStartTime = 3 * time.Second
	// wallClockSkew is by how much the wall clocks of a backend server and of the owner may differ. They may jump by seconds.
	wallClockSkew = 10 * time.Second
)

// endOf returns when a run has certainly ended unless the lease of its server is renewed.
func (c *Conductor) endOf(s *session, a *allocation) time.Time {
	end := s.leaseEnd
	if (s.predecessorLease || s.formerCalls) && c.mayOutlastRenewals(s, a) {
		end = end.Add(leaseBound(c.settings.maxLease) - leaseBound(c.settings.lease))
	}
	if a.endsBy.After(end) {
		return a.endsBy
	}
	return end
}

// mayOutlastRenewals reports whether a run that was recorded by an earlier owner, or precedes a restart, may last longer than the
// renewals of that owner say. A run that an earlier incarnation has reported has ended with it.
func (c *Conductor) mayOutlastRenewals(s *session, a *allocation) bool {
	if a.incarnation < s.server.Incarnation {
		return !a.answered
	}
	return a.longLease && c.mayHoldFormerLease(s.leaseEnd, a.incarnation)
}

// mayHoldFormerLease reports whether at a time the lease of an incarnation may still be one that calls to an earlier one have renewed.
func (c *Conductor) mayHoldFormerLease(at time.Time, incarnation int64) bool {
	return at.Sub(time.UnixMilli(incarnation)) < formerCallTime+c.settings.maxLease+wallClockSkew
}

// settleFormerCalls handles the first response of a server under this owner's fencing token, or under a new one after a
// restart. It excludes all earlier calls; those that were carried out before may have renewed the lease.
func (c *Conductor) settleFormerCalls(now time.Time, s *session) {
	s.formerCalls = false
	for _, a := range s.allocations {
		a.endsBy = time.Time{}
	}
	if !c.mayHoldFormerLease(now, s.server.Incarnation) {
		return
	}
	s.longLeaseUntil = now.Add(leaseBound(c.settings.maxLease))
	s.extendLease(s.longLeaseUntil)
	c.logDecision("LeaseExtended", specifier.TaskID{}, 0, s.server.ID, "calls that were meant for an earlier incarnation may have renewed the lease")
}

// startedByLaterIncarnation handles a start whose response has a clock that is behind the one known before. The clock of an
// incarnation never goes back, so that a later one has started the run, whose lease end is on the clock of the earlier one.
// On a clock that is ahead, the lease end has passed, or lies no further ahead than in other starts.
func (c *Conductor) startedByLaterIncarnation(now time.Time, s *session, a *allocation) {
	c.logDecision("StartOutlivedRestart", a.task, a.run, s.server.ID, fmt.Sprintf("sent to incarnation %d", a.incarnation))
	s.setState(a, outcomeUnknown)
	c.awaitLateStart(now, a)
	c.raiseFence(now, s, a.fence)
}

// awaitLateStart records that a start without a response may be carried out by the next incarnation of its server, whether its
// restart is seen or not, and last for the longest lease then. A task that lasts is not held up by that: its absence is worse
// than a second run. It counts for its team meanwhile.
func (c *Conductor) awaitLateStart(now time.Time, a *allocation) {
	a.mayStartUntil = now.Add(lateStartTime)
	if j := c.jobs[a.task.Job]; j != nil && a.task.Step < len(j.Spec.Steps) && j.Spec.Steps[a.task.Step].LongRunning {
		a.mayStartUntil = a.mayStartUntil.Add(leaseBound(c.settings.maxLease))
		return
	}
	a.endsBy = now.Add(lateStartTime + leaseBound(c.settings.maxLease))
}

// mayHaveFormerLease reports whether calls of an earlier owner that were meant for an earlier incarnation of a server may have
// renewed the lease of the one that sends its first response to this owner. The records of runs tell, if there are some.
func (c *Conductor) mayHaveFormerLease(s *session, report specifier.ServerReport) bool {
	if c.isFirstHolder(s.id) {
		return false
	}
	for _, a := range s.allocations {
		if a.incarnation == report.Incarnation && !a.longLease {
			return false
		}
	}
	return true
}

// isFirstHolder reports whether no other owner, and no earlier session of this one, has made calls to a server.
func (c *Conductor) isFirstHolder(id specifier.ServerID) bool {
	_, transferred := c.shard.transfers[id]
	_, hadSession := c.lastFences[id]
	return c.settings.firstTerm && !transferred && !hadSession
}
