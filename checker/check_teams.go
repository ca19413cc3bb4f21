package checker

import (
	"strings"
	"unicode"
)

// minMilliCores is one core. The smallest task of the users needs more, and a smaller limit usually counts cores in place
// of thousandths.
const minMilliCores = 1000

func (f *findings) checkTeams(teams []Team) {
	names, keys := make(map[string]string), make(map[string]keyUse)
	for _, team := range teams {
		f.requireText(team.Name, "name of the team")
		f.requireUnique(names, team.Name, "team name")
		f.checkKeys(team, keys)
		switch weight := team.Weight; {
		case weight.isMissing():
			f.error(weight.Place, "weight is missing")
		case weight.Given && weight.Value <= 0:
			f.error(weight.Place, "weight is %v, but must be positive", weight.Value)
		}
		for _, limit := range team.limits() {
			requireNotNegative(f, limit, "limit")
		}
		if cores := team.MilliCores; cores.Value > 0 && cores.Value < minMilliCores {
			f.warn(cores.Place, "limit is %d thousandths of a core, so that no task that needs a whole core fits", cores.Value)
		}
	}
}

func (f *findings) checkKeys(team Team, seen map[string]keyUse) {
	if len(team.Keys) == 0 && !team.KeysFaulty {
		f.warn(team.KeysPlace, "the team has no keys, so that it cannot call")
	}
	for _, key := range team.Keys {
		if key.Faulty {
			continue
		}
		f.requireText(key, "key")
		if key.Value == "" {
			continue
		}
		if strings.ContainsFunc(key.Value, isUnsendable) {
			f.error(key.Place, "key %s can never match: it has a space or a control character", mask(key.Value))
		}
		switch earlier, known := seen[key.Value]; {
		case !known:
			seen[key.Value] = keyUse{team: team.Place, place: key.Place}
		case earlier.team == team.Place:
			f.warn(key.Place, "key %s of the same team is also at %s", mask(key.Value), earlier.place)
		default:
			f.error(key.Place, "key %s is also that of another team, at %s", mask(key.Value), earlier.place)
		}
	}
}

// isUnsendable reports whether a caller cannot send a character as part of a key in a header.
func isUnsendable(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r)
}
