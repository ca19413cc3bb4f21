package calibrator

import (
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// priorDeviation is the standard deviation of a logarithmic speed that an earlier owner has recorded. Only servers with a class are
	// recorded, so that this is what is required to compare speeds.
	priorDeviation = maxDeviation
	// minFactor and maxFactor are the speeds relative to the average that are believed. The users state a ratio of 2.4.
	minFactor, maxFactor = 0.05, 20
)

// prior is what an earlier owner has recorded about the speed of a server. It counts like ends from before the takeover: less by its age, and
// by each new end.
type prior struct {
	speed      float64
	recordedAt time.Time
	weight     float64
}

// Restore uses the speed of a server, relative to the average, that an earlier owner has recorded. A server with ends does not need it, and
// a factor that is not possible is ignored.
func (c *Calibrator) Restore(now time.Time, id specifier.ServerID, factor float64) {
	// A factor that is not a number fails the comparison, too.
	if !(factor >= minFactor && factor <= maxFactor) || c.servers[id] != nil {
		return
	}
	s := c.add(id)
	s.prior = &prior{speed: math.Log(factor), recordedAt: now, weight: 1}
	s.speed = s.prior.speed
	c.changed = true
}

// precision returns the part of the precision of an estimate that the prior adds.
func (p *prior) precision() float64 {
	if p == nil {
		return 0
	}
	return p.weight / (priorDeviation * priorDeviation)
}

// ageWeight returns the weight of an observation by its age.
func ageWeight(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / ageHalfLife.Seconds())
}
