package coordinator

import "strconv"

const (
	lanePrefix   = "egretring/lanes/"
	memberPrefix = "egretring/members/"
)

// laneKey returns the key that is written with each commit of a lane. Commits are conditional on its revision, so that an
// earlier write that the store applies late fails. A lane has one commit in flight at a time.
func laneKey(lane int) string {
	return lanePrefix + strconv.Itoa(lane)
}

func memberKey(instance string) string {
	return memberPrefix + instance
}
