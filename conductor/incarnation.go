package conductor

import "time"

// isDescribed reports whether the labels and the capacity of the server are those of its present incarnation. A response shows a
// restart before the new entry is read, and the new incarnation may be of another kind.
func (s *session) isDescribed() bool {
	return s.describedIncarnation == s.server.Incarnation
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
