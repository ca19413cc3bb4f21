package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/placer"
)

const (
	// quickFailure is how soon after its start a failure counts against the backend server.
	quickFailure = 10 * time.Second
	// failuresForAside is how many quick failures in a row set a backend server aside. It is below the attempts of a
	// task, because tight packing sends the attempts of a task back to the emptiest place.
	failuresForAside = 3
	// suspectAfter is on how many backend servers a job fails before its failures count against no other one.
	suspectAfter = 3
	// asideDivisor bounds the backend servers set aside to a third, because more of them point at another cause.
	asideDivisor   = 3
	firstProbeWait = 30 * time.Second
	maxProbeWait   = 10 * time.Minute
)

// health is what the results of tasks say about a backend server.
type health struct {
	// failed are the tasks that failed here in a row.
	failed    []*task
	aside     bool
	probeAt   time.Time
	probedAt  time.Time
	probeWait time.Duration
}

// judge counts the end of an attempt for or against its backend server and its job, and reports whether a failure
// counts against the task. Failures that set a backend server aside do not.
func (s *Starter) judge(now time.Time, t *task, outcome committer.Outcome) bool {
	ranFor := now.Sub(t.startedAt)
	switch {
	case outcome == committer.Succeeded || !t.startedAt.IsZero() && ranFor >= quickFailure:
		clear(t.job.failedOn)
		s.praise(now, t.server)
	case outcome == committer.Failed:
		t.job.failedOn[t.server.id] = true
		if len(t.job.failedOn) < suspectAfter {
			return !s.blame(now, t.server, t)
		}
	}
	return true
}

func (s *Starter) praise(now time.Time, on *server) {
	wasAside := on.health.aside
	on.health = health{}
	if wasAside {
		s.aside--
		if !on.lost {
			s.place(now, placer.ServerReadmitted{Server: on.id})
		}
	}
}

// blame counts a quick failure, and reports whether the backend server is set aside.
func (s *Starter) blame(now time.Time, on *server, t *task) bool {
	h := &on.health
	if h.aside && !h.isProbe(t) {
		return true
	}
	if h.aside {
		h.probeWait = min(2*h.probeWait, maxProbeWait)
		h.probeAt = now.Add(h.probeWait)
		return true
	}
	if len(h.failed) < failuresForAside-1 || s.aside >= len(s.servers)/asideDivisor {
		h.failed = append(h.failed, t)
		return false
	}
	for _, earlier := range h.failed {
		earlier.failures = max(0, earlier.failures-1)
	}
	h.failed = nil
	h.aside = true
	h.probeWait = firstProbeWait
	h.probeAt = now.Add(h.probeWait)
	s.aside++
	s.place(now, placer.ServerSetAside{Server: on.id})
	return true
}

// isProbe reports whether a task was started by the last probe, and not before the backend server was set aside.
func (h *health) isProbe(t *task) bool {
	return !h.probedAt.IsZero() && (t.startedAt.IsZero() || !t.startedAt.Before(h.probedAt))
}

// probe allows one task on a backend server that is set aside, and again later if that tells nothing.
func (s *Starter) probe(now time.Time, known *server) {
	h := &known.health
	if !h.aside || known.lost || now.Before(h.probeAt) {
		return
	}
	h.probedAt = now
	h.probeAt = now.Add(h.probeWait)
	s.place(now, placer.ServerProbed{Server: known.id})
}

// judgeRunning readmits a backend server on which a task has run for long enough.
func (s *Starter) judgeRunning(now time.Time, known *server) {
	if !known.health.aside {
		return
	}
	for _, t := range known.tasks {
		if t.state == Running && known.health.isProbe(t) && now.Sub(t.startedAt) >= quickFailure {
			s.praise(now, known)
			return
		}
	}
}
