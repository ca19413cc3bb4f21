package rater

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the measured rates. A team that falls from five times its rate below it is then noticed within 3 s.
	rateTime = time.Second
	// longRateTime is that of lines of few jobs, of which none starts in some seconds.
	longRateTime = 5 * time.Second
)

// Line identifies the jobs of a team that have the same priority. They are served in one order.
type Line struct {
	Team     string
	Priority int
}

// flow is what was measured of a line.
type flow struct {
	// arrived and started are the numbers of jobs since the last decision.
	arrived, started int
	// offered is the smoothed number of submissions a second, estimated from the share that was refused. recentPace and longPace are
	// those of first starts.
	offered, recentPace, longPace float64
	refusal                       Refusal
}

// measure updates the rates with the jobs of the elapsed time.
func (f *flow) measure(elapsed time.Duration) {
	defer func() { f.arrived, f.started = 0, 0 }()
	if elapsed <= 0 {
		return
	}
	smooth := func(rate *float64, count float64, over time.Duration) {
		*rate += (1 - math.Exp(-elapsed.Seconds()/over.Seconds())) * (count/elapsed.Seconds() - *rate)
	}
	smooth(&f.offered, float64(f.arrived)/(1-f.refusal.Share), rateTime)
	smooth(&f.recentPace, float64(f.started), rateTime)
	smooth(&f.longPace, float64(f.started), longRateTime)
	f.refusal = f.refusal.After(elapsed)
}

// pace returns the jobs a second that start. The larger measure is used, because a refusal that was not needed costs more than one that is
// missing.
func (f *flow) pace() float64 {
	return math.Max(f.recentPace, f.longPace)
}

// excess returns how many jobs a second are offered beyond the pace of the line, if jobs that join it now would become worthless before
// they start. While jobs wait that are not half as old as that takes, the pace is not reliable.
func (f *flow) excess(d Demand) float64 {
	if d.Oldest < d.Patience/2 || float64(d.Waiting) <= f.pace()*d.Patience.Seconds() {
		return 0
	}
	return math.Max(0, f.offered-margin*f.pace())
}
