package rater

import (
	"hash/fnv"
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

// Refusal says which submissions of a line are refused.
type Refusal struct {
	Line
	// Share is the share of new submissions to refuse.
	Share float64
	// Phase is the start of the window of accepted hashes, as a part of all hashes. The window moves through all of them in a Turn, with each
	// statement of the refusal.
	Phase float64
	Turn  time.Duration
}

// After returns the refusal after some time.
func (r Refusal) After(elapsed time.Duration) Refusal {
	if r.Turn > 0 {
		r.Phase = math.Mod(r.Phase+elapsed.Seconds()/r.Turn.Seconds(), 1)
	}
	return r
}

// Refuses reports whether a job is refused.
func (r Refusal) Refuses(id specifier.JobID) bool {
	return r.Share > 0 && r.ahead(id) >= 1-r.Share
}

// Wait returns after which time a job that is refused will be accepted if it comes back, for a refusal of the given age. It is the middle of the
// time for which the window certainly contains the job: the window that is stated is up to MinStatementTime behind.
func (r Refusal) Wait(id specifier.JobID, age time.Duration) time.Duration {
	now := r.After(age)
	inWindow := time.Duration((1 - r.Share) * float64(r.Turn))
	end := time.Duration(now.ahead(id) * float64(r.Turn))
	return max(end-(inWindow-MinStatementTime)/2, MinStatementTime)
}

// ahead returns how far a job is ahead of the start of the window, as a part of all hashes.
func (r Refusal) ahead(id specifier.JobID) float64 {
	ahead := position(id) - r.Phase
	if ahead < 0 {
		ahead++
	}
	return ahead
}

// position returns the place of a job in the space of hashes, from 0 up to 1.
func position(id specifier.JobID) float64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	// The high bits of FNV depend little on the last bytes.
	sum := h.Sum64() * 0x9e3779b97f4a7c15
	return float64(sum>>11) / (1 << 53)
}
