package accountant

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// account is what is known of a team.
type account struct {
	running specifier.Resources
	// limit is that of the newest configuration that has the team. Without one the team has no limit.
	limit specifier.Resources
}

// lateRelease is an amount that counts until a time although the run that took it is not expected to exist.
type lateRelease struct {
	team string
	need specifier.Resources
	at   time.Time
}

// Accountant counts the amounts of teams. The empty name stands for jobs without a team, which are not counted and have no limit.
type Accountant struct {
	accounts map[string]*account
	// configured is set once a configuration is known. Until then no task of a team may start, because its limit is not known.
	configured bool
	late       []lateRelease
}

// New returns an Accountant without teams.
func New() *Accountant {
	return &Accountant{accounts: make(map[string]*account)}
}

// Configure sets the limits. A team that is no longer configured keeps its last limit: its accepted jobs go on, and a missing team must
// not lift a limit.
func (a *Accountant) Configure(teams specifier.Teams) {
	a.configured = true
	for _, team := range teams.All() {
		// Of several teams with one name the first one counts.
		if named, _ := teams.Named(team.Name); team.Name != "" {
			a.account(team.Name).limit = named.MaxRunning
		}
	}
}

func (a *Accountant) account(team string) *account {
	known := a.accounts[team]
	if known == nil {
		known = &account{}
		a.accounts[team] = known
	}
	return known
}

// Take counts the need of a run from its reservation on.
func (a *Accountant) Take(team string, need specifier.Resources) {
	if team != "" {
		known := a.account(team)
		known.running = known.running.Plus(need)
	}
}

// Release ends the count of a run that is known not to exist.
func (a *Accountant) Release(team string, need specifier.Resources) {
	if team != "" {
		known := a.account(team)
		known.running = known.running.Minus(need)
	}
}

// ReleaseAt ends the count of a run at a time up to which it may still be started.
func (a *Accountant) ReleaseAt(team string, need specifier.Resources, at time.Time) {
	if team != "" {
		a.late = append(a.late, lateRelease{team: team, need: need, at: at})
	}
}

// Advance ends the counts whose time has come, and reports whether there were any.
func (a *Accountant) Advance(now time.Time) bool {
	before := len(a.late)
	a.late = slices.DeleteFunc(a.late, func(l lateRelease) bool {
		if now.Before(l.at) {
			return false
		}
		a.Release(l.team, l.need)
		return true
	})
	return len(a.late) < before
}

// Fits returns how many more tasks with a need may start, at most the given number.
func (a *Accountant) Fits(team string, need specifier.Resources, most int) int {
	return a.FitsBeside(team, need, specifier.Resources{}, most)
}

// FitsBeside is Fits when an amount is kept for other tasks of the team. It may be negative, for an amount that is expected to be
// released.
func (a *Accountant) FitsBeside(team string, need, kept specifier.Resources, most int) int {
	if team == "" {
		return most
	}
	if !a.configured {
		return 0
	}
	known := a.accounts[team]
	if known == nil {
		return most
	}
	return count(need, known.running.Plus(kept), known.limit, most)
}

// Exceeded reports whether the team has more than its limit of a resource of which a task needs some. Like Fits, it ignores the others.
func (a *Accountant) Exceeded(team string, need specifier.Resources) bool {
	known := a.accounts[team]
	if known == nil {
		return false
	}
	for _, p := range pairs(need, known.running, known.limit) {
		if p[0] > 0 && p[2] > 0 && p[1] > p[2] {
			return true
		}
	}
	return false
}

// Usage is what a team has, and its limit.
type Usage struct {
	Team           string
	Running, Limit specifier.Resources
}

// Usage returns what a team has.
func (a *Accountant) Usage(team string) Usage {
	usage := Usage{Team: team}
	if known := a.accounts[team]; known != nil {
		usage.Running, usage.Limit = known.running, known.limit
	}
	return usage
}

// Usages returns what all teams have, in the order of their names.
func (a *Accountant) Usages() []Usage {
	usages := make([]Usage, 0, len(a.accounts))
	for team := range a.accounts {
		usages = append(usages, a.Usage(team))
	}
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Team, y.Team) })
	return usages
}

// pairs returns the amounts of each resource.
func pairs(need, used, limit specifier.Resources) [3][3]int64 {
	return [3][3]int64{
		{need.MilliCores, used.MilliCores, limit.MilliCores},
		{need.MemoryMB, used.MemoryMB, limit.MemoryMB},
		{need.Accelerators, used.Accelerators, limit.Accelerators},
	}
}

// count returns how many times a need fits between what is used and the limit. A task that needs nothing of a resource does not bring a
// team further above its limit of it.
func count(need, used, limit specifier.Resources, most int) int {
	fitting := int64(most)
	for _, p := range pairs(need, used, limit) {
		if p[0] > 0 && p[2] > 0 {
			fitting = min(fitting, max(0, p[2]-p[1])/p[0])
		}
	}
	return int(fitting)
}

func isBeyond(used, limit specifier.Resources) bool {
	for _, p := range pairs(specifier.Resources{}, used, limit) {
		if p[2] > 0 && p[1] > p[2] {
			return true
		}
	}
	return false
}

// Waves returns how many times the tasks of a step have to run one after the other because of the team's limit. A gang runs at once or
// never.
func (a *Accountant) Waves(team string, step specifier.Step) int {
	known := a.accounts[team]
	if team == "" || known == nil || step.Gang {
		return 1
	}
	waves := 1.0
	for _, p := range pairs(step.Need, specifier.Resources{}, known.limit) {
		if p[2] > 0 {
			waves = max(waves, math.Ceil(float64(p[0])*float64(step.Count)/float64(p[2])))
		}
	}
	return int(min(waves, float64(max(step.Count, 1))))
}
