package conductor

import "time"

// acknowledge advances the number of the newest end of a run that is in the store.
func (c *Conductor) acknowledge(now time.Time, s *session) {
	for len(s.pending) > 0 {
		first := s.pending[0]
		if j := c.jobs[first.job]; j != nil && j.Committed() < first.version {
			return
		}
		s.acknowledged = first.number
		s.pending = s.pending[1:]
		if len(s.pending) == 0 && !s.awaitsStart() {
			s.nextRenewalAt = now
		}
	}
}

// owesAcknowledgement reports whether ends of runs are in the store whose acknowledgement the server has not confirmed.
func (s *session) owesAcknowledgement() bool {
	return s.acknowledged > s.confirmed
}

// mayAcknowledge reports whether the next renewal may acknowledge ends of runs. An acknowledgement that a later incarnation carries
// out makes it discard ends that this owner has not received, if it has carried out starts under the same or an earlier
// fencing token before. So none is sent while a start or another call has no response.
func (s *session) mayAcknowledge() bool {
	return s.owesAcknowledgement() && s.isSettled() && !s.awaitsStart()
}

// isSettled reports whether the server has responded to all calls that it has to respond to before it counts as reachable and
// without orders in doubt.
func (s *session) isSettled() bool {
	return s.reconciled && s.responsive() && s.respondedFence == s.fence
}

// awaitsStart reports whether a start that was sent has no result yet.
func (s *session) awaitsStart() bool {
	for _, a := range s.allocations {
		if a.state == sent {
			return true
		}
	}
	return false
}

// takeAcknowledgement returns the acknowledgement for the next renewal, or zero. Later starts carry a higher fencing token, so that
// an incarnation that has carried out one of them refuses the acknowledgement.
func (s *session) takeAcknowledgement() int64 {
	if !s.mayAcknowledge() {
		return 0
	}
	s.fence++
	s.respondedFence = s.fence
	return s.acknowledged
}

// startAnswered makes the acknowledgement due that waited for the result of a start.
func (s *session) startAnswered(now time.Time) {
	if s.mayAcknowledge() && len(s.pending) == 0 {
		s.nextRenewalAt = now
	}
}
