package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// RunTime is a log-normal distribution of run times with a share of stragglers.
type RunTime struct {
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the run time.
	Spread float64
	// StragglerShare is the share of runs that take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
}

// Draw returns a random run time. The values that it takes from the source do not depend on the fields of the
// distribution, so that a change of the distribution does not shift later draws.
func (r RunTime) Draw(random *rand.Rand) time.Duration {
	normal := random.NormFloat64()
	straggles := random.Float64() < r.StragglerShare
	seconds := r.Median.Seconds() * math.Exp(normal*r.Spread)
	if straggles {
		seconds *= r.StragglerFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// Mean returns the mean of the distribution.
func (r RunTime) Mean() time.Duration {
	stragglers := 1 + r.StragglerShare*(r.StragglerFactor-1)
	return time.Duration(float64(r.Median) * math.Exp(r.Spread*r.Spread/2) * stragglers)
}
