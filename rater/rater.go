package rater

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// margin is the factor of its pace at which jobs of a line are accepted while it is refused a share, so that capacity that becomes
	// free is used. Of a team, as much more than its rate is accepted.
	margin = 1.1
	// maxShare bounds the share of refused submissions, so that entry instances go on to learn it from the submissions that they accept.
	maxShare = 0.9
	// minWindow is how long each job is accepted in a turn. Retry-After has whole seconds, and a caller adds its own delay.
	minWindow = 3 * time.Second
	// minTurn bounds the turn from below, so that a refused job does not come back while the same jobs still wait.
	minTurn = 4 * time.Second
)

// Rater has the token buckets of the teams, and what was measured of their lines. It is not safe for concurrent use.
type Rater struct {
	buckets   map[string]*bucket
	flows     map[Line]*flow
	decidedAt time.Time
}

// Demand is a line in which jobs beyond the rate of the team wait.
type Demand struct {
	Line
	// Waiting is the number of jobs that have not started and still have a value, and Oldest the time for which the first one has waited.
	Waiting int
	Oldest  time.Duration
	// Patience is how long a new job may wait for its start until its result has no value.
	Patience time.Duration
}

// Decision is a refusal with the figures from which it was decided.
type Decision struct {
	Refusal
	Demand Demand
	// Rate is that of the team, Offered the estimated rate of submissions of the line, and Pace the rate of its first starts; in jobs a
	// second.
	Rate, Offered, Pace float64
}

// New returns a Rater without teams.
func New() *Rater {
	return &Rater{buckets: make(map[string]*bucket), flows: make(map[Line]*flow)}
}

// SetTeams applies the rates of a configuration. A team without a weight has no rate.
func (r *Rater) SetTeams(teams specifier.Teams) {
	for name := range r.buckets {
		if team, known := teams.Named(name); !known || team.Weight <= 0 {
			delete(r.buckets, name)
		}
	}
	for line := range r.flows {
		if r.buckets[line.Team] == nil {
			delete(r.flows, line)
		}
	}
	for _, team := range teams.All() {
		if team.Weight <= 0 {
			continue
		}
		if r.buckets[team.Name] == nil {
			r.buckets[team.Name] = &bucket{}
		}
		r.buckets[team.Name].setRate(team.Weight)
	}
}

// Tokens returns how many jobs of the team are within its rate, of which as many as given wait without having taken a token. There is no
// bound for a team without a rate.
func (r *Rater) Tokens(now time.Time, team string, waiting int) int {
	b := r.buckets[team]
	if b == nil {
		return math.MaxInt
	}
	b.fill(now, waiting)
	return int(b.tokens)
}

// Take takes the token of a job within the rate that starts.
func (r *Rater) Take(team string) {
	if b := r.buckets[team]; b != nil {
		b.tokens = math.Max(0, b.tokens-1)
	}
}

// Arrive counts a job that was accepted.
func (r *Rater) Arrive(line Line) {
	if f := r.flowOf(line); f != nil {
		f.arrived++
	}
}

// Start counts the first start of a job.
func (r *Rater) Start(line Line) {
	if f := r.flowOf(line); f != nil {
		f.started++
	}
}

// flowOf returns what was measured of a line; nil if its team has no rate.
func (r *Rater) flowOf(line Line) *flow {
	if r.buckets[line.Team] == nil {
		return nil
	}
	f := r.flows[line]
	if f == nil {
		f = &flow{}
		r.flows[line] = f
	}
	return f
}

// Decide returns the refusals that are in force from now on, in the order of the lines. It is called about once a second.
func (r *Rater) Decide(now time.Time, demands []Demand) []Decision {
	elapsed := now.Sub(r.decidedAt)
	if r.decidedAt.IsZero() {
		elapsed = 0
	}
	r.decidedAt = now
	offered := make(map[string]float64)
	for line, f := range r.flows {
		f.measure(elapsed)
		f.refusal = Refusal{Phase: f.refusal.Phase}
		offered[line.Team] += f.offered
	}
	excess := make(map[string]float64)
	for _, d := range demands {
		if f := r.flowOf(d.Line); f != nil {
			excess[d.Team] += f.excess(d)
		}
	}
	var decisions []Decision
	for _, d := range demands {
		if excess[d.Team] <= 0 {
			continue
		}
		// Of the whole team no more is refused than what it sends beyond its rate.
		b, f := r.buckets[d.Team], r.flows[d.Line]
		part := math.Min(1, (offered[d.Team]-margin*b.rate)/excess[d.Team])
		share := math.Min(maxShare, part*f.excess(d)/f.offered)
		if f.offered <= 0 || share <= 0 {
			continue
		}
		turn := max(minTurn, time.Duration(float64(minWindow)/(1-share)))
		f.refusal = Refusal{Line: d.Line, Share: share, Phase: f.refusal.Phase, Turn: turn}
		decisions = append(decisions, Decision{Refusal: f.refusal, Demand: d, Rate: b.rate, Offered: f.offered, Pace: f.pace()})
	}
	slices.SortFunc(decisions, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Priority, b.Priority))
	})
	return decisions
}
