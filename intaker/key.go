package intaker

import (
	"strings"

	"egretring.example/egretring/specifier"
)

const (
	// Prefix is the prefix of the keys of submissions and cancellations.
	Prefix = "egretring/intake/"
	// StatePrefix is the prefix of the keys of job records.
	StatePrefix = "egretring/states/"
)

const (
	jobPrefix    = Prefix + "jobs/"
	cancelPrefix = Prefix + "cancels/"
	// ProbeKey is read to find out whether the store serves calls. It does not exist.
	ProbeKey = "egretring/probe"
)

// JobKey returns the key of a submitted job.
func JobKey(id specifier.JobID) string {
	return jobPrefix + string(id)
}

// StateKey returns the key of the record of a job's progress. The record of a finished job replaces its submission.
func StateKey(id specifier.JobID) string {
	return StatePrefix + string(id)
}

// JobOfStateKey returns the job of a key made by StateKey.
func JobOfStateKey(key string) specifier.JobID {
	return specifier.JobID(strings.TrimPrefix(key, StatePrefix))
}

// CancelKey returns the key of a cancellation.
func CancelKey(id specifier.JobID) string {
	return cancelPrefix + string(id)
}

// KeyKind distinguishes the keys under Prefix.
type KeyKind int

// The kinds of keys.
const (
	OtherKey KeyKind = iota
	SubmittedJob
	Cancellation
)

// ParseKey returns the kind of a key and the job that it belongs to.
func ParseKey(key string) (KeyKind, specifier.JobID) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return SubmittedJob, specifier.JobID(id)
	}
	if id, ok := strings.CutPrefix(key, cancelPrefix); ok {
		return Cancellation, specifier.JobID(id)
	}
	return OtherKey, ""
}
