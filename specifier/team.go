package specifier

import "slices"

// Team is a team of callers, as configured by operators.
type Team struct {
	Name string
	// Keys are the keys with which the team's callers authenticate.
	Keys []string
	// Weight is the team's share of scarce capacity, relative to other teams, and the number of jobs a second that it may submit.
	Weight float64
	// MaxRunning bounds what the team's tasks may occupy on all backend servers together. A resource with zero is not bounded.
	MaxRunning Resources
}

// Teams is an immutable set of teams.
type Teams struct {
	list   []Team
	byName map[string]int
	byKey  map[string]int
}

// NewTeams returns the set of some teams. Of several teams with the same name, or with the same key, the first one counts.
func NewTeams(list ...Team) Teams {
	if len(list) == 0 {
		return Teams{}
	}
	t := Teams{list: list, byName: make(map[string]int, len(list)), byKey: make(map[string]int)}
	for i, team := range list {
		if _, known := t.byName[team.Name]; !known {
			t.byName[team.Name] = i
		}
		for _, key := range team.Keys {
			if _, known := t.byKey[key]; !known && key != "" {
				t.byKey[key] = i
			}
		}
	}
	return t
}

// All returns the teams in the order of the configuration.
func (t Teams) All() []Team {
	return slices.Clone(t.list)
}

// Len returns the number of teams.
func (t Teams) Len() int {
	return len(t.list)
}

// Named returns the team with a name.
func (t Teams) Named(name string) (Team, bool) {
	i, found := t.byName[name]
	if !found {
		return Team{}, false
	}
	return t.list[i], true
}

// ByKey returns the team that a key belongs to.
func (t Teams) ByKey(key string) (Team, bool) {
	i, found := t.byKey[key]
	if !found {
		return Team{}, false
	}
	return t.list[i], true
}
