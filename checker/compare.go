package checker

// Comparison is what distinguishes a configuration from the one in force.
type Comparison struct {
	Differences []Difference
	// Findings are an error for a version that is not higher, and warnings for changes that stop callers.
	Findings []Finding
}

// Compare compares a configuration with the one in force.
func Compare(before, after Document) Comparison {
	c := newComparer(after.Teams)
	if before.Version.Given && after.Version.Given && after.Version.Value <= before.Version.Value {
		c.found.error(after.Version.Place, "version is %d, but must be higher than that in force, %d",
			after.Version.Value, before.Version.Value)
	}
	compareFields(c, "configuration", before.Version, after.Version)
	compareSets(c, before.Queues, after.Queues, c.compareQueues)
	compareSets(c, before.Services, after.Services, func(before, after Service) {
		compareFields(c, after.label(), before.EnforcesCapacity, after.EnforcesCapacity)
		compareFields(c, after.label(), before.MaxConnections, after.MaxConnections)
	})
	compareSets(c, before.Teams, after.Teams, c.compareTeams)
	c.compareLimits(before.Limits, after.Limits)
	if len(before.Teams) == 0 && len(after.Teams) > 0 {
		c.found.warn(after.TeamsPlace, "the configuration in force has no teams: calls without a key are refused from now on")
	}
	return Comparison{Differences: c.differences, Findings: c.found}
}
