package accountant

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// claimAfter is how long a gang waits before quota of its team accumulates for it: the target latency of the queues of gangs.
	claimAfter = time.Second
	// claimFirstAfter is how long a gang waits before it precedes all gangs of its team that have waited for less: as long as before
	// servers are held for it while others compete for them.
	claimFirstAfter = 30 * time.Second
	// claimTimeout is how long enough quota is kept for a gang that does not start, and how long none is kept for it then. Holds of
	// servers last as long.
	claimTimeout = 20 * time.Second
	// claimMargin is how long before a gang should fit the limit the runs of others should end that may start meanwhile.
	claimMargin = 200 * time.Millisecond
)

// Gang is a waiting gang of a team.
type Gang struct {
	Step specifier.StepID
	Team string
	// Need is that of a member.
	Need    specifier.Resources
	Members int
	Waited  time.Duration
	// Late is set when the gang can no longer meet its objective.
	Late bool
	// State is kept by the caller from one choice to the next. It is zero for a new gang.
	State *ClaimState
}

// Claim keeps quota of a team for a gang. Without it, smaller steps of the team would take what the gang needs whenever a part becomes
// free.
type Claim struct {
	Step specifier.StepID
	// Need is that of all members.
	Need specifier.Resources
	// Late is set when the gang can no longer meet its objective. Only then are urgent steps held back.
	Late bool
	// Wait is the time until the gang should fit the limit. Runs that should end before may start.
	Wait time.Duration
}

// HoldsBack reports whether quota is kept from a step. RunTime is that of its tasks.
func (c *Claim) HoldsBack(step specifier.StepID, urgent, lasts bool, runTime time.Duration) bool {
	if step == c.Step || urgent && !c.Late {
		return false
	}
	return lasts || runTime+claimMargin > c.Wait
}

// Claims has the gangs for which quota accumulates, one for each team. It is not safe for concurrent use.
type Claims struct {
	accountant *Accountant
	byTeam     map[string]*Claim
}

// ClaimState is what is known of a gang that has a claim or had one.
type ClaimState struct {
	// claims is set while quota accumulates for the gang, enoughSince is since when it suffices, and notBefore the earliest time of the
	// next claim after one in which the gang did not start.
	claims                 bool
	enoughSince, notBefore time.Time
}

// NewClaims returns Claims on the limits of an Accountant.
func NewClaims(a *Accountant) *Claims {
	return &Claims{accountant: a}
}

// Of returns the claim of a team, or nil.
func (c *Claims) Of(team string) *Claim {
	return c.byTeam[team]
}

// Choose chooses the gangs for which quota accumulates among all that wait: for each team the first one that has waited, lacks quota and
// could run within the limit. Before is the order of gangs, and outlook returns what the runs of a team are expected to release. Choose
// returns the gangs for which quota begins to accumulate.
func (c *Claims) Choose(now time.Time, gangs []Gang, before func(a, b *Gang) bool, outlook func(team string) *Outlook) []*Gang {
	var chosen map[string]*Gang
	for i := range gangs {
		g := &gangs[i]
		if !c.mayClaim(now, g, outlook) {
			continue
		}
		if chosen == nil {
			chosen = make(map[string]*Gang)
		}
		if first := chosen[g.Team]; first == nil || g.claimsBefore(first, before) {
			chosen[g.Team] = g
		}
	}
	previous := c.byTeam
	c.byTeam = make(map[string]*Claim, len(chosen))
	var begun []*Gang
	for team, g := range chosen {
		g.State.claims = true
		c.byTeam[team] = &Claim{
			Step: g.Step, Need: g.Need.Times(g.Members), Late: g.Late, Wait: c.accountant.TimeUntil(team, g.Need, g.Members, outlook(team)),
		}
		if last := previous[team]; last == nil || last.Step != g.Step {
			begun = append(begun, g)
		}
	}
	return begun
}

// mayClaim reports whether quota may accumulate for a gang. Once it has, it is kept until the gang starts, for claimTimeout at most.
func (c *Claims) mayClaim(now time.Time, g *Gang, outlook func(team string) *Outlook) bool {
	state := g.State
	if g.Waited < claimAfter || now.Before(state.notBefore) {
		return false
	}
	if c.accountant.Fits(g.Team, g.Need, g.Members) < g.Members {
		state.enoughSince = time.Time{}
		return c.accountant.Allows(g.Team, g.Need, g.Members, outlook(g.Team))
	}
	if !state.claims {
		return false
	}
	if state.enoughSince.IsZero() {
		state.enoughSince = now
	}
	if now.Sub(state.enoughSince) >= claimTimeout {
		*state = ClaimState{notBefore: now.Add(claimTimeout)}
		return false
	}
	return true
}

// claimsBefore reports whether quota accumulates for the gang rather than for another one of its team.
func (g *Gang) claimsBefore(other *Gang, before func(a, b *Gang) bool) bool {
	if first := g.Waited >= claimFirstAfter; first != (other.Waited >= claimFirstAfter) {
		return first
	}
	return before(g, other)
}
