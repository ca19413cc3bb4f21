package assessor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// jobFailuresToEject is the number of different jobs whose runs must fail, with no success in between, before a
	// server is ejected.
	jobFailuresToEject = 2
	// minEjectionTime and maxEjectionTime are the shortest and longest time before an ejected server gets a trial run, or
	// one to which no connection could be opened gets runs again.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 8 * time.Second
)

// Health is the health of one incarnation of a backend server. The zero value is healthy.
type Health struct {
	failedJobs   map[specifier.JobID]bool
	ejectionTime time.Duration
	trialAt      time.Time
	ejected      bool
	// pauseTime is the length of the last pause, which ended, or will end, at pausedUntil.
	pauseTime   time.Duration
	pausedUntil time.Time
}

// Trials are the runs that an ejected server got since TrialsBegin.
type Trials struct {
	// Lasted is the number of trials that have lasted for TrialTime, and Open that of the others.
	Lasted, Open int
}

// AllowsRun reports whether the server may get another run. An ejected server gets trials once its ejection time has passed: one at
// first, and as many more as have lasted. Trials may take long, and tasks that last end no trial.
func (h *Health) AllowsRun(now time.Time, trials Trials) bool {
	if !h.ejected {
		return !now.Before(h.pausedUntil)
	}
	return !now.Before(h.trialAt) && trials.Open <= trials.Lasted
}

// Ejected reports whether the server gets no runs but trials.
func (h *Health) Ejected() bool {
	return h.ejected
}

// TrialsBegin returns the time from which on runs are trials. Earlier runs show nothing about the server.
func (h *Health) TrialsBegin() time.Time {
	return h.trialAt
}

// TrialTime returns how long a trial has to last so that there may be more of them.
func (h *Health) TrialTime() time.Duration {
	return h.ejectionTime
}

// RecordSuccess records a successful run, which makes the server healthy again.
func (h *Health) RecordSuccess() {
	*h = Health{}
}

// RecordFailure records a failed run and reports whether it newly ejects the server.
func (h *Health) RecordFailure(now time.Time, job specifier.JobID) bool {
	if h.failedJobs == nil {
		h.failedJobs = make(map[specifier.JobID]bool)
	}
	h.failedJobs[job] = true
	if !h.ejected && len(h.failedJobs) < jobFailuresToEject {
		return false
	}
	return h.Eject(now)
}

// Pause keeps new runs from the server for a time, because no connection to it could be opened. That says nothing about the runs that
// it has, so that it gets runs again without a trial. The time doubles with each pause until a connection is opened.
func (h *Health) Pause(now time.Time) {
	if now.Before(h.pausedUntil) {
		return
	}
	h.pauseTime = max(minEjectionTime, min(2*h.pauseTime, maxEjectionTime))
	h.pausedUntil = now.Add(h.pauseTime)
}

// RecordConnection records that a connection to the server could be opened.
func (h *Health) RecordConnection() {
	h.pauseTime = 0
}

// Eject ejects the server immediately and reports whether it was not ejected before. The ejection time doubles with
// each failed trial up to its maximum.
func (h *Health) Eject(now time.Time) bool {
	newlyEjected := !h.ejected
	if newlyEjected {
		h.ejectionTime = minEjectionTime
	} else if !now.Before(h.trialAt) {
		h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
	}
	h.ejected = true
	h.trialAt = now.Add(h.ejectionTime)
	return newlyEjected
}
