package picker

import (
	"time"

	"egretring.example/egretring/describer"
)

type health int

const (
	healthy health = iota
	ejected
	probing
)

const (
	// loadLevels is the number of levels by which the used part of a share is compared.
	loadLevels = 8
	// levelsPerFailure is the number of levels added for each recent failure in a row, at most maxCountedFailures
	// times, so that a server that fails quickly does not attract work because its slots are free.
	levelsPerFailure   = 4
	maxCountedFailures = 2
	probeLevel         = loadLevels + levelsPerFailure*maxCountedFailures
	levelCount         = probeLevel + 1
	// noLevel is the level of a server that accepts no work at present.
	noLevel = -1
)

// server is the state of one backend server.
type server struct {
	id     describer.BackendServerID
	listed bool
	live   bool
	// leavingUntil is the time until which a leaving server gets no new work. It is set by the instance list and by
	// announcements of the server itself or of a peer.
	leavingUntil time.Time
	leavingTimer time.Time
	share        int
	// held is the part of inUse whose attempts have ended although the server may still run them.
	held  int
	inUse int

	health       health
	failures     int
	failureShare float64
	successes    int
	ejections    int
	ejectedUntil time.Time
	// probes is the number of running attempts that were started to probe the server.
	probes int

	level       int
	levelIndex  int
	usableIndex int
	// The counted values are the contribution of this server to the sums of the picker.
	countedFree     int
	countedLimit    int
	countedEjected  int
	countedEligible int
}

func (s *server) eligible() bool {
	return s.live && s.leavingUntil.IsZero() && s.share > 0
}

// limit returns the contribution of the server to the capacity of the picker.
func (s *server) limit() int {
	switch {
	case !s.eligible() || s.health == ejected:
		return 0
	case s.health == probing:
		return 1
	default:
		return s.share
	}
}

// free returns the number of attempts that may be started. Attempts that have been running since before an ejection do
// not prevent a probe.
func (s *server) free() int {
	if s.limit() == 0 {
		return 0
	}
	if s.health == probing {
		return max(0, min(1-s.probes, s.share-s.inUse))
	}
	return max(0, s.share-s.inUse)
}

// take uses a slot for a new attempt.
func (s *server) take() {
	s.inUse++
	if s.health == probing {
		s.probes++
	}
}

// release frees the slot of an ended attempt. It does not track which attempt was the probe: at worst another probe is
// started a little early.
func (s *server) release() {
	s.inUse--
	s.probes = max(0, s.probes-1)
}

func (s *server) wantedLevel() int {
	switch {
	case s.free() == 0:
		return noLevel
	case s.health == probing:
		return probeLevel
	default:
		return s.inUse*loadLevels/s.share + levelsPerFailure*min(s.failures, maxCountedFailures)
	}
}

func (s *server) removable() bool {
	return !s.listed && s.share == 0 && s.inUse == 0
}

// recordFailure counts a failure and reports whether the server must be ejected.
func (s *server) recordFailure() bool {
	s.failures++
	s.successes = 0
	s.failureShare += (1 - s.failureShare) / failureMemory
	return s.health == probing || s.failures >= ejectAfter || s.failureShare >= ejectShare
}

func (s *server) recordSuccess() {
	s.failures = 0
	s.successes++
	s.failureShare -= s.failureShare / failureMemory
	if s.health == probing && s.successes >= readmitAfter {
		s.health = healthy
		s.failureShare = 0
	}
	if s.successes >= resetEjectionsAfter {
		s.ejections = 0
	}
}

// ejectionTime returns the duration of the next ejection, which doubles with each ejection up to maxEjection.
func (s *server) ejectionTime() time.Duration {
	duration := firstEjection << min(s.ejections, 10)
	return min(duration, maxEjection)
}
