package coordinator

import "strconv"

const (
	lanePrefix   = "egretring/lanes/"
	memberPrefix = "egretring/members/"
)

// laneKey is written with each commit of a lane, so that a write that the store carries out late fails.
func laneKey(lane int) string {
	return lanePrefix + strconv.Itoa(lane)
}

func memberKey(instance string) string {
	return memberPrefix + instance
}
