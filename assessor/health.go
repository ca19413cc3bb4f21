package assessor

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

// Health is the health of one life of a backend server. The zero value is healthy.
type Health struct {
	failedJobs  map[specifier.JobID]bool
	setAside    time.Duration
	trialAt     time.Time
	probational bool
}

// Admits reports whether a server may get one more run beside those that it has.
func (h *Health) Admits(now time.Time, runs int) bool {
	if !h.probational {
		return true
	}
	return !now.Before(h.trialAt) && runs == 0
}

// Succeed notes a run that ended well.
func (h *Health) Succeed() {
	*h = Health{}
}

// Fail notes a failed run and reports whether the server is newly set aside.
func (h *Health) Fail(now time.Time, job specifier.JobID) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[specifier.JobID]bool)
	}
	h.failedJobs[job] = true
	if !h.probational && len(h.failedJobs) < failuresToSetAside {
		return false
	}
	return h.Exclude(now)
}

// Exclude sets the server aside at once, for a longer time after each trial that failed, and reports whether it was not set
// aside before.
func (h *Health) Exclude(now time.Time) bool {
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
