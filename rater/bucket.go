package rater

import (
	"math"
	"time"
)

const (
	// BurstTime is the time for which a team that has sent nothing may send at any rate what it could have sent at its rate. It is the
	// window in which quotas are measured, too (quota_window_s).
	BurstTime = 5 * time.Second
	// rateTime is the time constant of the measured rate of arrivals. Refusals are decided once a second.
	rateTime = 2 * time.Second
)

// bucket is the token bucket of a team, and what was measured of the team.
type bucket struct {
	// rate is in jobs a second, and burst in jobs.
	rate, burst float64
	tokens      float64
	filledAt    time.Time
	// arrived is the number of jobs since the last decision about refusals. arrivals is the smoothed number a second, and offered that of
	// all submissions, estimated from the share that was refused.
	arrived           int
	arrivals, offered float64
	refusal           Refusal
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

// measure updates the rates of arrivals and submissions with the arrivals of the elapsed time.
func (b *bucket) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())
	arrivals := float64(b.arrived) / elapsed.Seconds()
	b.arrivals += weight * (arrivals - b.arrivals)
	b.offered += weight * (arrivals/(1-b.refusal.Share) - b.offered)
	b.arrived = 0
}
