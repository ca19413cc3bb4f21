package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// failuresToSetAside is the number of failed runs of different jobs in a row after which a server is set aside.
	failuresToSetAside = 2
	// firstSetAside and lastSetAside bound the time before a server that failed runs is tried again.
	firstSetAside = 2 * time.Second
	lastSetAside  = 8 * time.Second
)

// health judges a backend server by how the runs on it end.
type health struct {
	failedJobs  map[specifier.JobID]bool
	setAside    time.Duration
	trialAt     time.Time
	probational bool
}

// admits reports whether a server may get one more run beside those that it has.
func (h *health) admits(now time.Time, runs int) bool {
	if !h.probational {
		return true
	}
	return !now.Before(h.trialAt) && runs == 0
}

func (h *health) succeed() {
	*h = health{}
}

// fail notes a failed run and reports whether the server is newly set aside.
func (h *health) fail(now time.Time, job specifier.JobID) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[specifier.JobID]bool)
	}
	h.failedJobs[job] = true
	if !h.probational && len(h.failedJobs) < failuresToSetAside {
		return false
	}
	return h.exclude(now)
}

// exclude sets the server aside at once, for a longer time after each trial that failed.
func (h *health) exclude(now time.Time) bool {
	fresh := !h.probational
	if fresh {
		h.setAside = firstSetAside
	} else if !now.Before(h.trialAt) {
		h.setAside = min(2*h.setAside, lastSetAside)
	}
	h.probational = true
	h.trialAt = now.Add(h.setAside)
	return fresh
}
