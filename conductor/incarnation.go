package conductor

import "time"

// isDescribed reports whether the labels and the capacity of the server are those of its present incarnation. A response shows a
// restart before the new entry is read, and the new incarnation may be of another kind.
func (s *session) isDescribed() bool {
	return s.describedIncarnation == s.server.Incarnation
}

// isFormer reports whether an incarnation is the one before the newest known, of which an entry or a response may still arrive. It may
// have the later start time, because the wall clock of a server may be set back.
func (s *session) isFormer(incarnation int64) bool {
	return s.formerIncarnation != 0 && incarnation == s.formerIncarnation
}

// mayBeSetBack reports whether a response from an incarnation with an earlier start time than the newest known is from a later one: the
// call was sent after the newest known was noticed, so that no incarnation before that can have responded. If the former one has, the
// newest known was that of an outdated entry from before two restarts.
func (s *session) mayBeSetBack(e RenewEnded) bool {
	return e.Report.Incarnation != 0 && e.Incarnation == s.server.Incarnation
}

// isOutlived reports whether a run was sent to an incarnation before the newest known.
func (s *session) isOutlived(a *allocation) bool {
	return a.incarnation < s.server.Incarnation || s.isFormer(a.incarnation)
}

// withdrawReserved requeues the runs that were placed on an earlier incarnation of a server and whose starts were not sent yet: the
// present one may have other labels, another capacity and another address.
func (c *Conductor) withdrawReserved(now time.Time, s *session) {
	var placed []*allocation
	for _, a := range s.allocations {
		if a.state == reserved {
			placed = append(placed, a)
		}
	}
	for _, a := range placed {
		// The withdrawal of a member of a gang withdraws the others, too.
		if s.allocations[a.task] != a {
			continue
		}
		c.logDecision("StartWithheld", a.task, a.run, s.id, "the server has restarted")
		c.requeue(now, s, a)
	}
}
