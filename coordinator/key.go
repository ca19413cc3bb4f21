package coordinator

import "strconv"

const (
	lanePrefix   = "egretring/lanes/"
	memberPrefix = "egretring/members/"
	// refusalPrefix is the prefix of the keys with the statements about refusals. They are never deleted, because a key must not have a
	// former revision, which is zero for one that does not exist, again.
	refusalPrefix = "egretring/refusals/"
	// speedsKey has the speeds of servers that the last owner knew.
	speedsKey = "egretring/speeds"
)

// laneKey returns the key that is written with each commit of a lane. Commits are conditional on its revision, so that an
// earlier write that the store applies late fails. A lane has one commit in flight at a time.
func laneKey(lane int) string {
	return lanePrefix + strconv.Itoa(lane)
}

// refusalKey returns the key of the statement about a team. Jobs of the team are stored on the condition that it has not changed since they were
// decided.
func refusalKey(team string) string {
	return refusalPrefix + team
}

func memberKey(instance string) string {
	return memberPrefix + instance
}
