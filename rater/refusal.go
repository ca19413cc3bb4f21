package rater

import (
	"hash/fnv"
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

// MaxAge is how old a refusal may be when it is applied. Instances learn refusals once a second, and one answer may be lost.
const MaxAge = 3 * time.Second

// Refusal says which submissions of a line are refused.
type Refusal struct {
	Line
	// Share is the share of new submissions to refuse.
	Share float64
	// Phase is the start of the window of accepted hashes, as a part of all hashes. The window moves through all of them in a Turn.
	Phase float64
	Turn  time.Duration
	// Age is the time since the owner's decision.
	Age time.Duration `json:",omitempty"`
}

// After returns the refusal after some time.
func (r Refusal) After(elapsed time.Duration) Refusal {
	r.Age += elapsed
	if r.Turn > 0 {
		r.Phase = math.Mod(r.Phase+elapsed.Seconds()/r.Turn.Seconds(), 1)
	}
	return r
}

// Refuses reports whether a job is refused now, and after which time it will be accepted if it comes back. A refusal that is
// older than MaxAge refuses none.
func (r Refusal) Refuses(id specifier.JobID) (time.Duration, bool) {
	if r.Age > MaxAge || r.Share <= 0 {
		return 0, false
	}
	window := 1 - r.Share
	ahead := position(id) - r.Phase
	if ahead < 0 {
		ahead++
	}
	if ahead < window {
		return 0, false
	}
	// The middle of the time for which the job will be accepted.
	return time.Duration((ahead - window/2) * float64(r.Turn)), true
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

// Refusals are the refusals that an entry instance has learned. It is not safe for concurrent use.
type Refusals struct {
	byLine map[Line]learned
}

type learned struct {
	Refusal
	at time.Time
}

// Learn replaces what is known about a line; a share of zero means that nothing is refused.
func (r *Refusals) Learn(now time.Time, refusal Refusal) {
	if refusal.Share <= 0 {
		delete(r.byLine, refusal.Line)
		return
	}
	if r.byLine == nil {
		r.byLine = make(map[Line]learned)
	}
	r.byLine[refusal.Line] = learned{Refusal: refusal, at: now}
}

// LearnAll replaces what is known about all lines of an owner.
func (r *Refusals) LearnAll(now time.Time, refusals []Refusal) {
	clear(r.byLine)
	for _, refusal := range refusals {
		r.Learn(now, refusal)
	}
}

// For returns the present refusal of a line; it refuses nothing if there is none.
func (r *Refusals) For(now time.Time, line Line) Refusal {
	known, found := r.byLine[line]
	if !found {
		return Refusal{}
	}
	return known.After(now.Sub(known.at))
}
