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
	// loadLevels is the number of steps in which the used part of a share is compared.
	loadLevels = 8
	// failureLevels is added for each recent failure in a row, so that a server that fails quickly does not attract
	// work by looking idle.
	failureLevels  = 4
	countedFailure = 2
	probeLevel     = loadLevels + failureLevels*countedFailure
	levelCount     = probeLevel + 1
	// notPlaced is the level of a server that takes no work now.
	notPlaced = -1
)

// server is the state of one backend server.
type server struct {
	id     describer.BackendServerID
	listed bool
	live   bool
	// leavingUntil is set by the instance list and by announcements of the server itself or of a peer.
	leavingUntil time.Time
	holdTimer    time.Time
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
	// counted values are what the sums of the picker contain of this server.
	countedFree  int
	countedLimit int
	countedOut   int
	countedIn    int
}

func (s *server) eligible() bool {
	return s.live && s.leavingUntil.IsZero() && s.share > 0
}

// limit is what the server adds to the capacity.
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

// free is the number of attempts that may be started. Attempts that run since before an ejection do not keep the
// server from being probed.
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

// release frees the slot of an ended attempt. It need not be known which attempt was the probe: at worst another one
// is started a little early.
func (s *server) release() {
	s.inUse--
	s.probes = max(0, s.probes-1)
}

func (s *server) wantedLevel() int {
	switch {
	case s.free() == 0:
		return notPlaced
	case s.health == probing:
		return probeLevel
	default:
		return s.inUse*loadLevels/s.share + failureLevels*min(s.failures, countedFailure)
	}
}

func (s *server) forgotten() bool {
	return !s.listed && s.share == 0 && s.inUse == 0
}

// recordFailure counts a failure and reports whether the server is to be ejected.
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
	if s.successes >= forgetAfter {
		s.ejections = 0
	}
}

// ejectionTime doubles with each ejection.
func (s *server) ejectionTime() time.Duration {
	duration := firstEjection << min(s.ejections, 10)
	return min(duration, maxEjection)
}
