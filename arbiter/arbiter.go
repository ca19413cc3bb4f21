package arbiter

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// MaxCredit is the time for which a team that could not be served is owed its share afterwards. It is the window in which rates
	// and quotas of teams are measured (quota_window_s).
	MaxCredit = 5 * time.Second
	// minExpected is the run time that is charged for a run with a shorter estimate or none. Tasks of the strictest queues take half a
	// second, and a start costs the owner about a millisecond.
	minExpected = 10 * time.Millisecond
	// unknownWeight is the weight of a team while no team has one.
	unknownWeight = 1
)

// Arbiter keeps the virtual times. It is not safe for concurrent use.
type Arbiter struct {
	weights map[string]float64
	// meanWeight is that of teams without a weight, and of work without a team.
	meanWeight float64
	// maxLag is the virtual time that corresponds to MaxCredit.
	maxLag   float64
	capacity map[string]specifier.Resources
	clocks   map[clockKey]*clock
	// pass is the number of the last order of all waiting steps.
	pass int
}

// clockKey identifies a virtual time.
type clockKey struct {
	service  string
	priority int
	beyond   bool
}

// clock is a virtual time and the teams in it.
type clock struct {
	now float64
	// fills counts the orders that have made queues of the steps in this virtual time.
	fills int
	// flows are the teams that ever had work, by name. The teams of a configuration bound their number.
	flows map[string]*flow
}

// flow is the work of a team in a virtual time.
type flow struct {
	clock *clock
	team  string
	// tag is the virtual time up to which the team has been served.
	tag float64
	// start is the tag when the step that is served was returned. Its tasks are charged one by one.
	start float64
	// pass is that of the last order with work of the team.
	pass int
	// queue is the index of the queue of the team in the order that was the fill-th of the clock.
	queue, fill int
}

// New returns an Arbiter without teams.
func New() *Arbiter {
	a := &Arbiter{capacity: make(map[string]specifier.Resources), clocks: make(map[clockKey]*clock)}
	a.SetTeams(specifier.Teams{})
	return a
}

// SetTeams applies the weights of a configuration. Charges so far keep the weights with which they were made.
func (a *Arbiter) SetTeams(teams specifier.Teams) {
	a.weights = make(map[string]float64, teams.Len())
	total := 0.0
	for _, team := range teams.All() {
		if team.Weight > 0 {
			a.weights[team.Name] = team.Weight
			total += team.Weight
		}
	}
	a.meanWeight = unknownWeight
	if len(a.weights) > 0 {
		a.meanWeight = total / float64(len(a.weights))
	}
	a.maxLag = MaxCredit.Seconds() / max(total, a.meanWeight)
}

// SetCapacity states the capacity of a service, of which runs take a share.
func (a *Arbiter) SetCapacity(service string, capacity specifier.Resources) {
	a.capacity[service] = capacity
}

func (a *Arbiter) weight(team string) float64 {
	if weight, known := a.weights[team]; known {
		return weight
	}
	return a.meanWeight
}

func (a *Arbiter) clockOf(key clockKey) *clock {
	c := a.clocks[key]
	if c == nil {
		c = &clock{flows: make(map[string]*flow)}
		a.clocks[key] = c
	}
	return c
}

// flowOf returns the flow of a team.
func (c *clock) flowOf(team string, pass int) *flow {
	f := c.flows[team]
	if f == nil {
		f = &flow{clock: c, team: team, tag: c.now, pass: pass}
		c.flows[team] = f
	}
	return f
}

// activate records that the team of a flow has work waiting. It bounds the credit of the team: there is none after a pause.
func (a *Arbiter) activate(f *flow) {
	credit := a.maxLag
	if f.pass < a.pass-1 {
		credit = 0
	}
	f.tag = max(f.tag, f.clock.now-credit)
	f.pass = a.pass
}

// serve charges the flow.
func (f *flow) serve(amount float64) {
	f.clock.now = max(f.clock.now, f.start)
	f.tag += amount
}

// dominantShare returns the largest share of a resource of the service that the need takes.
func (a *Arbiter) dominantShare(service string, need specifier.Resources) float64 {
	capacity := a.capacity[service]
	share := 0.0
	for _, pair := range [...][2]int64{
		{need.MilliCores, capacity.MilliCores}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
