package rater

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// rateMargin is the factor of its rate at which jobs of a team are accepted while it is refused a share. It keeps a team whose jobs
	// are refused beyond its rate, so that one that falls below it is noticed.
	rateMargin = 1.1
	// maxShare bounds the share of refused submissions, so that entry instances go on to learn it from the submissions that they accept.
	maxShare = 0.9
	// minWindow is how long each job is accepted in a turn. Retry-After has whole seconds, and a caller adds its own delay.
	minWindow = 2 * time.Second
	// minTurn bounds the turn from below, so that a refused job does not come back while the same jobs still wait.
	minTurn = 4 * time.Second
)

// Rater has the token buckets of the teams. It is not safe for concurrent use.
type Rater struct {
	buckets   map[string]*bucket
	decidedAt time.Time
}

// Demand is the work of a team beyond its rate.
type Demand struct {
	Team string
	// Late is the number of waiting steps whose job has missed its objective.
	Late int
	// Started is the number of runs that were started since the last decision, in jobs.
	Started int
}

// Decision is a refusal with the figures from which it was decided.
type Decision struct {
	Refusal
	// Rate is that of the team, Arrivals the measured rate of accepted jobs, and Offered the estimated rate of all submissions; in jobs
	// a second.
	Rate, Arrivals, Offered float64
	Late                    int
}

// New returns a Rater without teams.
func New() *Rater {
	return &Rater{buckets: make(map[string]*bucket)}
}

// SetTeams applies the rates of a configuration. A team without a weight has no rate.
func (r *Rater) SetTeams(teams specifier.Teams) {
	for name := range r.buckets {
		if team, known := teams.Named(name); !known || team.Weight <= 0 {
			delete(r.buckets, name)
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

// Arrive counts a job that was accepted.
func (r *Rater) Arrive(team string) {
	if b := r.buckets[team]; b != nil {
		b.arrived++
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

// Decide returns the refusals that are in force from now on, in the order of the teams. It is called about once a second.
func (r *Rater) Decide(now time.Time, demands []Demand) []Decision {
	elapsed := now.Sub(r.decidedAt)
	if r.decidedAt.IsZero() {
		elapsed = 0
	}
	r.decidedAt = now
	for _, b := range r.buckets {
		b.measure(elapsed)
		b.refusal = b.refusal.After(elapsed)
	}
	var decisions []Decision
	refused := make(map[string]bool, len(demands))
	for _, d := range demands {
		b := r.buckets[d.Team]
		if b == nil {
			continue
		}
		share := b.share(d, elapsed)
		if share <= 0 {
			continue
		}
		refused[d.Team] = true
		turn := max(minTurn, time.Duration(float64(minWindow)/(1-share)))
		b.refusal = Refusal{Team: d.Team, Share: share, Phase: b.refusal.Phase, Turn: turn}
		decisions = append(decisions, Decision{Refusal: b.refusal, Rate: b.rate, Arrivals: b.arrivals, Offered: b.offered, Late: d.Late})
	}
	for name, b := range r.buckets {
		if !refused[name] {
			b.refusal = Refusal{Phase: b.refusal.Phase}
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.Team, b.Team) })
	return decisions
}

// share returns the share of new submissions to refuse: what is offered beyond the rate and beyond what was served of the work beyond
// it. It is zero unless the team sends more than its rate now.
func (b *bucket) share(d Demand, elapsed time.Duration) float64 {
	if d.Late == 0 || elapsed <= 0 || b.offered <= b.rate {
		return 0
	}
	accepted := rateMargin*b.rate + float64(d.Started)/elapsed.Seconds()
	return math.Min(maxShare, 1-accepted/b.offered)
}
