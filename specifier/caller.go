package specifier

// Caller is on whose behalf a call is made.
type Caller struct {
	// Team is the team of the call's key; empty for a call to a public queue without a known key.
	Team string
	// Unchecked is set in a deployment without keys: a call may be about any job.
	Unchecked bool
	// Doubtful is set for a call to a public queue with a key that a newer configuration may have added or revoked.
	Doubtful bool
}

// Owns reports whether a call may be about a job of a team. Jobs without a team belong to every caller.
func (c Caller) Owns(team string) bool {
	return c.Unchecked || team == "" || team == c.Team
}
