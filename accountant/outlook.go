package accountant

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// outlookStep is the resolution of an Outlook, and Horizon its length. A step asks for advice for a second at most before its
	// start, and the longest usual tasks take some six seconds.
	outlookStep  = 100 * time.Millisecond
	outlookSteps = 64
	// Horizon is how far an Outlook reaches.
	Horizon = outlookSteps * outlookStep
	// overrunShare divides the estimate of a run that has taken longer to get the time that it is expected to take still. Estimates are
	// off by half and more.
	overrunShare = 4
	// StoppingTime is how long a run that is being stopped should last; the platform states 900 ms.
	StoppingTime = time.Second
)

// Run is what the end of a run is expected from.
type Run struct {
	// Stopping is set for a run that is being stopped, and Lasts for one that lasts until its job is cancelled.
	Stopping, Lasts bool
	Estimate        time.Duration
	// StartedAt is zero for a run that has not started.
	StartedAt time.Time
}

// rest returns how long the run should still last.
func (r Run) rest(now time.Time) time.Duration {
	switch {
	case r.Stopping:
		return StoppingTime
	case r.StartedAt.IsZero():
		return r.Estimate
	}
	if rest := r.StartedAt.Add(r.Estimate).Sub(now); rest > 0 {
		return rest
	}
	return r.Estimate / overrunShare
}

// Outlooks has the Outlook of each team with runs.
type Outlooks map[string]*Outlook

// Add adds a run of a team.
func (o Outlooks) Add(now time.Time, team string, need specifier.Resources, r Run) {
	known := o[team]
	if known == nil {
		known = &Outlook{}
		o[team] = known
	}
	if r.Lasts && !r.Stopping {
		known.AddLasting(need)
	} else {
		known.Add(r.rest(now), need)
	}
}

// Outlook is what the runs of a team are expected to release, and when.
type Outlook struct {
	released [outlookSteps]specifier.Resources
	lasting  specifier.Resources
}

// Add adds a run that is expected to end after some time.
func (o *Outlook) Add(after time.Duration, need specifier.Resources) {
	if i := max(after, 0) / outlookStep; i < outlookSteps {
		o.released[i] = o.released[i].Plus(need)
	}
}

// AddLasting adds a run that lasts until its job is cancelled.
func (o *Outlook) AddLasting(need specifier.Resources) {
	o.lasting = o.lasting.Plus(need)
}

// Within returns what is expected to be released within some time.
func (o *Outlook) Within(time time.Duration) specifier.Resources {
	var sum specifier.Resources
	if o == nil {
		return sum
	}
	for i := range min(outlookSteps, int(time/outlookStep)) {
		sum = sum.Plus(o.released[i])
	}
	return sum
}

// TimeUntil returns the time after which a number of tasks is expected to fit, at most Horizon.
func (a *Accountant) TimeUntil(team string, need specifier.Resources, tasks int, o *Outlook) time.Duration {
	var sum specifier.Resources
	for i := range outlookSteps {
		if a.FitsBeside(team, need, specifier.Resources{}.Minus(sum), tasks) >= tasks {
			return time.Duration(i) * outlookStep
		}
		if o != nil {
			sum = sum.Plus(o.released[i])
		}
	}
	return Horizon
}

// Allows reports whether a team could run a number of tasks at once if it had nothing else but its lasting runs.
func (a *Accountant) Allows(team string, need specifier.Resources, tasks int, o *Outlook) bool {
	known := a.accounts[team]
	if team == "" || known == nil {
		return true
	}
	var lasting specifier.Resources
	if o != nil {
		lasting = o.lasting
	}
	return count(need, lasting, known.limit, tasks) >= tasks
}
