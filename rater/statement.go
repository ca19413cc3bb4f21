package rater

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// MaxAge is how old a statement may be when its refusals are applied. The owner replaces it each second while it refuses anything, instances
	// learn it once a second, and one answer may be lost.
	MaxAge = 3 * time.Second
	// MinStatementTime is the shortest time between two statements about a team: a store that admits 1,200 writes a second has room for one
	// write a second and team.
	MinStatementTime = time.Second
	// certainTime is MinStatementTime less a margin of 10% for clocks of different speed.
	certainTime = MinStatementTime * 9 / 10
	// toldFor is how long instances are told of a statement without refusals. Later ones learn it from the store.
	toldFor = 10 * time.Second
)

// Statement is the value of a team's key in the store: what is refused of the team while the key has its present revision. It does not change
// with time, so that no instance accepts a job under a revision under which another one refuses it.
type Statement struct {
	Refusals []Refusal `json:",omitempty"`
	// Former is the revision of the statement that this one has replaced, and FormerRefusals are its refusals.
	Former         int64     `json:",omitempty"`
	FormerRefusals []Refusal `json:",omitempty"`
}

// Stated is a statement as an instance knows it. The zero value is that of a team of which nothing was ever refused.
type Stated struct {
	Team string
	// Revision is that of the team's key.
	Revision int64
	Statement
	// Age is the time since the owner sent the write, or since the statement was first read from the store and MinStatementTime.
	Age time.Duration `json:",omitempty"`
}

// Refusal returns the refusal of a line; it refuses nothing if there is none.
func (s Stated) Refusal(line Line) Refusal {
	return refusalOf(s.Refusals, line)
}

// Refuses reports whether the statement refuses a job.
func (s Stated) Refuses(line Line, id specifier.JobID) bool {
	return s.Refusal(line).Refuses(id)
}

// IsCertain reports whether the statement is certainly still in force, because it is too young to have been replaced.
func (s Stated) IsCertain() bool {
	return s.Revision != 0 && s.Age < certainTime
}

// Expired reports whether the refusals are no longer applied: the owner should have replaced the statement.
func (s Stated) Expired() bool {
	return s.Age > MaxAge
}

// Permits reports whether a job may be stored under the statement, which was found to be in force after the job arrived. The known statement is
// the newest one when the job arrived or was permitted last. No other instance may have refused the job since it arrived. That is certain if
// neither this statement nor its predecessor refuses it, and no earlier one was in force meanwhile: the predecessor is the known one, or the time
// sufficed for one replacement at most.
func (s Stated) Permits(line Line, id specifier.JobID, known Stated, sinceArrival time.Duration) bool {
	if s.Refuses(line, id) || refusalOf(s.FormerRefusals, line).Refuses(id) {
		return false
	}
	return s.Former == known.Revision || sinceArrival < certainTime
}

// Next returns the statement that replaces this one.
func (s Stated) Next(refusals []Refusal) Statement {
	return Statement{Refusals: refusals, Former: s.Revision, FormerRefusals: s.Refusals}
}

func refusalOf(refusals []Refusal, line Line) Refusal {
	for _, r := range refusals {
		if r.Line == line {
			return r
		}
	}
	return Refusal{Line: line}
}

// Statements are the newest statements that an instance knows. It is not safe for concurrent use.
type Statements struct {
	byTeam map[string]known
}

type known struct {
	Stated
	// at is never later than the confirmation of the statement's write, from which MinStatementTime is counted.
	at time.Time
}

// Learn learns a statement from the owner, which had the stated age no earlier than at the given time.
func (s *Statements) Learn(at time.Time, stated Stated) {
	if stated.Revision <= s.byTeam[stated.Team].Revision {
		return
	}
	if s.byTeam == nil {
		s.byTeam = make(map[string]known)
	}
	s.byTeam[stated.Team] = known{Stated: stated, at: at.Add(-stated.Age)}
}

// Observe learns a statement that was read from the store, and returns it with its age. How old it was then is not known, so that it counts as
// old enough to be replaced.
func (s *Statements) Observe(now time.Time, stated Stated) Stated {
	stated.Age = MinStatementTime
	s.Learn(now, stated)
	if k := s.byTeam[stated.Team]; k.Revision == stated.Revision {
		return k.after(now)
	}
	return stated
}

// Of returns the newest known statement about a team.
func (s *Statements) Of(now time.Time, team string) Stated {
	k, found := s.byTeam[team]
	if !found {
		return Stated{Team: team}
	}
	return k.after(now)
}

// Told returns the statements of which other instances are told.
func (s *Statements) Told(now time.Time) []Stated {
	var told []Stated
	for _, k := range s.byTeam {
		if stated := k.after(now); len(stated.Refusals) > 0 || stated.Age < toldFor {
			told = append(told, stated)
		}
	}
	return told
}

func (k known) after(now time.Time) Stated {
	stated := k.Stated
	stated.Age = now.Sub(k.at)
	return stated
}
