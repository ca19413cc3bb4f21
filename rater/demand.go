package rater

import "time"

// maxPatience bounds the patience of a job, so that the sum of a line does not overflow.
const maxPatience = time.Hour

// Demands has the jobs of each line that have not started and still have a value.
type Demands map[Line]*lineDemand

// lineDemand has the jobs of a line. The patience is the sum of theirs.
type lineDemand struct {
	jobs             int
	oldest, patience time.Duration
	beyond           bool
}

// Add adds a job that has waited for some time. Patience is for how long such a job may wait until its result has no value, and beyond
// is set if it is beyond the rate of its team.
func (d Demands) Add(line Line, waited, patience time.Duration, beyond bool) {
	l := d[line]
	if l == nil {
		l = &lineDemand{}
		d[line] = l
	}
	l.jobs++
	l.oldest = max(l.oldest, waited)
	l.patience += min(max(0, patience), maxPatience)
	l.beyond = l.beyond || beyond
}

// Beyond returns the lines in which jobs beyond the rate of their team wait.
func (d Demands) Beyond() []Demand {
	var demands []Demand
	for line, l := range d {
		if l.beyond {
			demands = append(demands, Demand{Line: line, Waiting: l.jobs, Oldest: l.oldest, Patience: l.patience / time.Duration(l.jobs)})
		}
	}
	return demands
}
