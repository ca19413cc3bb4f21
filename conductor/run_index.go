package conductor

import "egretring.example/egretring/specifier"

// runIndex has, for each job with allocations, the number of them in each session, so that the end of a job visits its own
// servers only.
type runIndex map[specifier.JobID]map[*session]int

func (x runIndex) add(id specifier.JobID, s *session) {
	if x[id] == nil {
		x[id] = make(map[*session]int)
	}
	x[id][s]++
}

func (x runIndex) remove(id specifier.JobID, s *session) {
	x[id][s]--
	if x[id][s] == 0 {
		delete(x[id], s)
	}
	if len(x[id]) == 0 {
		delete(x, id)
	}
}
