package coordinator

import (
	"strconv"
	"strings"

	"egretring.example/egretring/specifier"
)

const (
	statePrefix  = "egretring/states/"
	lanePrefix   = "egretring/lanes/"
	memberPrefix = "egretring/members/"
)

func stateKey(id specifier.JobID) string {
	return statePrefix + string(id)
}

// laneKey is written with each commit of a lane, so that a write that the store carries out late fails.
func laneKey(lane int) string {
	return lanePrefix + strconv.Itoa(lane)
}

func memberKey(instance string) string {
	return memberPrefix + instance
}

func jobOfState(key string) specifier.JobID {
	return specifier.JobID(strings.TrimPrefix(key, statePrefix))
}
