package intaker

import (
	"strings"

	"egretring.example/egretring/specifier"
)

// Prefix is the prefix of all keys of this package.
const Prefix = "egretring/intake/"

const (
	jobPrefix    = Prefix + "jobs/"
	cancelPrefix = Prefix + "cancels/"
)

// JobKey returns the key of a submitted job.
func JobKey(id specifier.JobID) string {
	return jobPrefix + string(id)
}

// CancelKey returns the key of a cancellation.
func CancelKey(id specifier.JobID) string {
	return cancelPrefix + string(id)
}

// KeyKind says what a key of this package holds.
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
