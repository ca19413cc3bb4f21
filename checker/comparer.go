package checker

import "fmt"

// comparer collects the results of a comparison.
type comparer struct {
	differences []Difference
	found       findings
	// teamOf maps each key of the new configuration to the label of its team.
	teamOf map[string]string
}

func newComparer(after []Team) *comparer {
	c := &comparer{teamOf: make(map[string]string)}
	for _, team := range after {
		for _, key := range team.Keys {
			c.teamOf[key.Value] = team.label()
		}
	}
	return c
}

func (c *comparer) record(difference Difference) {
	c.differences = append(c.differences, difference)
}

// compareSets compares two lists of entries by name. Of several entries with the same name the first one counts.
func compareSets[E entry](c *comparer, before, after []E, compare func(before, after E)) {
	earlier, later := byLabel(before), byLabel(after)
	for i, e := range before {
		if _, kept := later[e.label()]; kept || earlier[e.label()] != i {
			continue
		}
		c.record(Difference{Place: e.place(), InForce: true, Change: Removed, Object: e.label(), Before: e.summary()})
		if effect := e.removal(); effect != "" {
			c.found.warnInForce(e.place(), "%s is removed: %s", e.label(), effect)
		}
	}
	for i, e := range after {
		if later[e.label()] != i {
			continue
		}
		if known, found := earlier[e.label()]; found {
			compare(before[known], e)
			continue
		}
		c.record(Difference{Place: e.place(), Change: Added, Object: e.label(), After: e.summary()})
	}
}

// byLabel returns the index of the first entry with each name.
func byLabel[E entry](list []E) map[string]int {
	indexes := make(map[string]int, len(list))
	for i, e := range list {
		if _, known := indexes[e.label()]; !known {
			indexes[e.label()] = i
		}
	}
	return indexes
}

// compareFields records a difference of a field, and returns whether there is one.
func compareFields[V comparable](c *comparer, object string, before, after Field[V]) bool {
	if before.Given == after.Given && before.Value == after.Value {
		return false
	}
	difference := Difference{Place: after.Place, Change: Changed, Object: object, Before: textOf(before), After: textOf(after)}
	switch {
	case !before.Given:
		difference.Change = Added
	case !after.Given:
		difference.Change = Removed
	}
	c.record(difference)
	return true
}

func textOf[V any](field Field[V]) string {
	if !field.Given {
		return ""
	}
	return fmt.Sprint(field.Value)
}

func (c *comparer) compareQueues(before, after Queue) {
	object := after.label()
	for _, pair := range [][2]Field[string]{{before.Host, after.Host}, {before.Prefix, after.Prefix}} {
		if compareFields(c, object, pair[0], pair[1]) {
			c.found.warn(pair[1].Place, "%s is no longer at %q: its callers are refused there", object, pair[0].Value)
		}
	}
	compareFields(c, object, before.Service, after.Service)
	compareFields(c, object, before.Priority, after.Priority)
	compareFields(c, object, before.MaxAttempts, after.MaxAttempts)
	compareFields(c, object, before.Stretch, after.Stretch)
	compareFields(c, object, before.TargetMilliseconds, after.TargetMilliseconds)
	compareFields(c, object, before.Public, after.Public)
	if before.Public.Value && !after.Public.Value {
		c.found.warn(after.Public.Place, "%s is no longer public: calls without a key are refused", object)
	}
	c.compareAdvice(object, before.Advice, after.Advice)
}

func (c *comparer) compareAdvice(object string, before, after *Advice) {
	switch {
	case before == nil && after == nil:
	case before == nil:
		c.record(Difference{Place: after.Place, Change: Added, Object: object})
	case after == nil:
		c.record(Difference{Place: before.Place, InForce: true, Change: Removed, Object: object})
	default:
		compareFields(c, object, before.FixedMilliseconds, after.FixedMilliseconds)
		compareFields(c, object, before.PerServerMilliseconds, after.PerServerMilliseconds)
		compareFields(c, object, before.ValidMilliseconds, after.ValidMilliseconds)
	}
}

func (c *comparer) compareTeams(before, after Team) {
	object := after.label()
	compareFields(c, object, before.Weight, after.Weight)
	if before.Weight.Given && after.Weight.Given && after.Weight.Value < before.Weight.Value {
		c.found.warn(after.Weight.Place, "weight of %s is lowered: it may send fewer jobs a second", object)
	}
	for i, limit := range after.limits() {
		c.compareLimit(object, before.limits()[i], limit)
	}
	added, removed := missingIn(before.Keys, after.Keys), missingIn(after.Keys, before.Keys)
	if len(added) > 0 {
		c.record(Difference{Place: after.KeysPlace, Change: Added, Object: object, After: maskAll(added)})
	}
	if len(removed) > 0 {
		c.record(Difference{Place: after.KeysPlace, Change: Removed, Object: object, Before: maskAll(removed)})
		c.warnOfKeys(after, removed)
	}
}

// warnOfKeys tells keys that no team has any longer from those that another team has now.
func (c *comparer) warnOfKeys(team Team, removed []string) {
	var revoked []string
	for _, key := range removed {
		if other, moved := c.teamOf[key]; moved {
			c.found.warn(team.KeysPlace, "key %s of %s belongs to %s now: its callers lose their jobs", mask(key), team.label(), other)
			continue
		}
		revoked = append(revoked, key)
	}
	if len(revoked) > 0 {
		c.found.warn(team.KeysPlace, "keys of %s are removed: calls with them are refused (%s)", team.label(), maskAll(revoked))
	}
}

// missingIn returns the keys that a list lacks.
func missingIn(list, keys []Field[string]) []string {
	known := make(map[string]bool, len(list))
	for _, key := range list {
		known[key.Value] = true
	}
	var missing []string
	for _, key := range keys {
		if key.Value != "" && !known[key.Value] {
			missing = append(missing, key.Value)
		}
	}
	return missing
}

// compareLimit compares a limit for which zero means none.
func (c *comparer) compareLimit(object string, before, after Field[int64]) {
	compareFields(c, object, before, after)
	if after.Value > 0 && (before.Value == 0 || after.Value < before.Value) {
		c.found.warn(after.Place, "limit of %s is lowered to %d", object, after.Value)
	}
}

func (c *comparer) compareLimits(before, after Limits) {
	c.compareLimit("requests", before.BodyBytes, after.BodyBytes)
	c.compareLimit("requests", before.HeaderBytes, after.HeaderBytes)
	// The program does not use the times, so that lower ones stop no caller.
	compareFields(c, "requests", before.HeaderMilliseconds, after.HeaderMilliseconds)
	compareFields(c, "requests", before.IdleMilliseconds, after.IdleMilliseconds)
}
