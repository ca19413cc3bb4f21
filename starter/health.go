package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/placer"
)

const (
	// quickFailure is the time after the start of an attempt within which a failure counts against the backend server.
	quickFailure = 10 * time.Second
	// failuresToEject is how many quick failures in a row eject a backend server. It is lower than the maximum number
	// of attempts of a task, because tight packing sends the attempts of a task back to the emptiest backend server.
	failuresToEject = 3
	// suspectJobAfter is on how many backend servers a job must have failed before its failures are attributed to the
	// job and count against no other backend server.
	suspectJobAfter = 3
	// ejectedDivisor limits the ejected backend servers to a third, because more failing ones point to another cause.
	ejectedDivisor = 3
	firstProbeWait = 30 * time.Second
	maxProbeWait   = 10 * time.Minute
)

// health is the state of a backend server as derived from the outcomes of its tasks.
type health struct {
	// failed holds the tasks of the latest consecutive quick failures on this backend server.
	failed    []*task
	ejected   bool
	probeAt   time.Time
	probedAt  time.Time
	probeWait time.Duration
	// failedProbeAt is the probedAt of the latest probe that failed. A gang job probes with several tasks, which fail
	// together.
	failedProbeAt time.Time
}

// evaluateAttempt updates the health of the backend server and the failures of the job after an attempt has ended. It
// reports whether a failure counts against the task; quick failures that eject a backend server, or happen on an
// ejected one, do not.
func (s *Starter) evaluateAttempt(now time.Time, t *task, outcome committer.Outcome) bool {
	ranFor := now.Sub(t.startedAt)
	switch {
	case outcome == committer.Succeeded || !t.startedAt.IsZero() && ranFor >= quickFailure:
		clear(t.job.failedOn)
		s.recordSuccess(now, t.server)
	case outcome == committer.Failed:
		t.job.failedOn[t.server.id] = true
		if len(t.job.failedOn) < suspectJobAfter {
			return !s.recordQuickFailure(now, t.server, t)
		}
	}
	return true
}

func (s *Starter) recordSuccess(now time.Time, srv *server) {
	wasEjected := srv.health.ejected
	srv.health = health{}
	if wasEjected {
		s.ejected--
		if !srv.lost {
			s.notifyPlacer(now, placer.ServerReadmitted{Server: srv.id})
		}
	}
}

// recordQuickFailure counts a quick failure of a task, and reports whether the backend server is ejected.
func (s *Starter) recordQuickFailure(now time.Time, srv *server, t *task) bool {
	h := &srv.health
	if h.ejected && !h.isProbe(t) {
		return true
	}
	if h.ejected {
		if h.failedProbeAt.Equal(h.probedAt) {
			return true
		}
		h.failedProbeAt = h.probedAt
		h.probeWait = min(2*h.probeWait, maxProbeWait)
		h.probeAt = now.Add(h.probeWait)
		return true
	}
	if len(h.failed) < failuresToEject-1 || s.ejected >= len(s.servers)/ejectedDivisor {
		h.failed = append(h.failed, t)
		return false
	}
	for _, earlier := range h.failed {
		earlier.failures = max(0, earlier.failures-1)
	}
	h.failed = nil
	h.ejected = true
	h.probeWait = firstProbeWait
	h.probeAt = now.Add(h.probeWait)
	s.ejected++
	s.notifyPlacer(now, placer.ServerEjected{Server: srv.id})
	return true
}

// isProbe reports whether a task was started since the last probe, and not before the backend server was ejected.
func (h *health) isProbe(t *task) bool {
	return !h.probedAt.IsZero() && (t.startedAt.IsZero() || !t.startedAt.Before(h.probedAt))
}

// probe allows one task on an ejected backend server when the probe is due, and schedules the next probe in case this
// one has no result.
func (s *Starter) probe(now time.Time, srv *server) {
	h := &srv.health
	if !h.ejected || srv.lost || now.Before(h.probeAt) {
		return
	}
	h.probedAt = now
	h.probeAt = now.Add(h.probeWait)
	s.notifyPlacer(now, placer.ServerProbed{Server: srv.id})
}

// readmitAfterProbe readmits an ejected backend server on which a probe task has run for quickFailure.
func (s *Starter) readmitAfterProbe(now time.Time, srv *server) {
	if !srv.health.ejected {
		return
	}
	for _, t := range srv.tasks {
		if t.state == Running && srv.health.isProbe(t) && now.Sub(t.startedAt) >= quickFailure {
			s.recordSuccess(now, srv)
			return
		}
	}
}
