package dispatcher

import (
	"math"
	"time"
)

// peakHalfLife lets the peak of a demand be remembered over a swing, and be forgotten within seconds.
const peakHalfLife = time.Second

// peak is the recent largest value of a demand; it decays exponentially.
type peak struct {
	value   float64
	updated time.Time
}

func (p *peak) observe(now time.Time, demand int) {
	p.value = max(p.at(now), float64(demand))
	p.updated = now
}

func (p *peak) at(now time.Time) float64 {
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 || p.value == 0 {
		return p.value
	}
	return p.value * math.Exp2(-elapsed.Seconds()/peakHalfLife.Seconds())
}
