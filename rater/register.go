package rater

import (
	"maps"
	"slices"
	"time"
)

// Register decides for the owner when a statement about a team is written. While anything of a team is refused, its statement is replaced each
// MinStatementTime, because the window of accepted jobs moves. Afterwards it is replaced twice: by one without refusals, and by one that shows
// that there were none before it either, so that instances permit jobs at once. A write that is not confirmed is repeated unchanged.
// It is not safe for concurrent use.
type Register struct {
	teams map[string]*registered
}

type registered struct {
	stated Stated
	wanted []Refusal
	// wantedAt is the time of the decision about wanted.
	wantedAt time.Time
	// nextAt is the time before which nothing is written.
	nextAt time.Time
	// pending is a statement whose write is not confirmed.
	pending *Statement
}

// NewRegister returns a register with the statements of the store. Earlier owners may just have written them.
func NewRegister(now time.Time, stored []Stated) *Register {
	r := &Register{teams: make(map[string]*registered)}
	for _, stated := range stored {
		r.teams[stated.Team] = &registered{stated: stated, nextAt: now.Add(MinStatementTime)}
	}
	return r
}

// Want replaces the refusals that are to be in force, decided at a time.
func (r *Register) Want(at time.Time, refusals []Refusal) {
	for _, t := range r.teams {
		t.wanted, t.wantedAt = nil, at
	}
	for _, refusal := range refusals {
		t := r.teams[refusal.Team]
		if t == nil {
			t = &registered{stated: Stated{Team: refusal.Team}, wantedAt: at}
			r.teams[refusal.Team] = t
		}
		t.wanted = append(t.wanted, refusal)
	}
}

// Next returns a statement that is to be written now, with the team and the revision that it replaces, or otherwise after which time there may be
// one; zero if there is nothing to write.
func (r *Register) Next(now time.Time) (write *Statement, replaced Stated, wait time.Duration) {
	for _, team := range slices.Sorted(maps.Keys(r.teams)) {
		t := r.teams[team]
		if t.pending == nil && len(t.wanted) == 0 && len(t.stated.Refusals) == 0 && len(t.stated.FormerRefusals) == 0 {
			continue
		}
		if due := t.nextAt.Sub(now); due > 0 {
			if wait == 0 || due < wait {
				wait = due
			}
			continue
		}
		t.nextAt = now.Add(MinStatementTime)
		if t.pending == nil {
			var refusals []Refusal
			for _, refusal := range t.wanted {
				refusals = append(refusals, refusal.After(now.Sub(t.wantedAt)))
			}
			next := t.stated.Next(refusals)
			t.pending = &next
		}
		return t.pending, t.stated, 0
	}
	return nil, Stated{}, wait
}

// Confirm records the revision of the statement that was written.
func (r *Register) Confirm(now time.Time, team string, revision int64) Stated {
	t := r.teams[team]
	return r.replace(now, Stated{Team: team, Revision: revision, Statement: *t.pending})
}

// Conflict records that another instance has replaced the statement.
func (r *Register) Conflict(now time.Time, current Stated) {
	r.replace(now, current)
}

func (r *Register) replace(now time.Time, stated Stated) Stated {
	t := r.teams[stated.Team]
	t.stated, t.pending = stated, nil
	t.nextAt = now.Add(MinStatementTime)
	return stated
}
