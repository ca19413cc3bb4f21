package rater

import (
	"math"
	"time"
)

// BurstTime is the time for which a team that has sent nothing may send at any rate what it could have sent at its rate. It is the
// window in which quotas are measured, too (quota_window_s).
const BurstTime = 5 * time.Second

// bucket is the token bucket of a team.
type bucket struct {
	// rate is in jobs a second, and burst in jobs.
	rate, burst float64
	tokens      float64
	filledAt    time.Time
}

// setRate changes the rate. A new bucket is full.
func (b *bucket) setRate(rate float64) {
	burst := math.Max(rate*BurstTime.Seconds(), 1)
	if b.rate == 0 {
		b.tokens = burst
	}
	b.rate, b.burst = rate, burst
}

// fill adds the tokens of the time since the last call. A time before that adds none. The bucket has room for a token of each waiting
// job beside the burst: a team whose jobs cannot start would otherwise lose tokens that it needs for them.
func (b *bucket) fill(now time.Time, waiting int) {
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += b.rate * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = math.Min(b.tokens, b.burst+float64(waiting))
}
