package calibrator

import (
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// keptEnds is the number of newest ends of a server that count.
	keptEnds = 32
	// endDecay is the weight of an end relative to the next newer one of the same server. It makes 14 ends count, so that a slow
	// period of five seconds (8 ends at the rate of the users' cell) is outweighed by about as many later ends.
	endDecay = 0.93
	// ageHalfLife is the time after which an end counts half, so that a server without work becomes unknown again.
	ageHalfLife = time.Minute
	// firstEnds is the number of ends below which the speed is drawn toward the average.
	firstEnds = 4
	// outlierLimit is how many standard deviations an end may be away from the speed of its server before its weight is reduced.
	outlierLimit = 1.5
)

// end is the end of a run on a server.
type end struct {
	step *step
	// run is the logarithm of the run time in seconds.
	run float64
	at  time.Time
	// weight is the part of the end that counts by its age, and trust that by its distance from what the other ends say.
	weight, trust float64
}

// counted returns the part of the end that counts for its step.
func (e *end) counted() float64 {
	return e.weight * e.trust
}

// server has the newest ends of a server and the estimate of its speed.
type server struct {
	id   specifier.ServerID
	ends []end
	// next is the index of the oldest end once there are keptEnds.
	next int
	// prior is nil if no speed was restored.
	prior *prior
	// speed is the logarithm of the speed relative to the average, and deviation its standard deviation.
	speed, deviation float64
	class            Class
	since            time.Time
}

// add adds an end, and returns the end that no longer counts, if there is one.
func (s *server) add(e end) (dropped end, isDropped bool) {
	if len(s.ends) < keptEnds {
		s.ends = append(s.ends, e)
		return end{}, false
	}
	dropped = s.ends[s.next]
	s.ends[s.next] = e
	s.next = (s.next + 1) % keptEnds
	return dropped, true
}

// setWeights sets the weights of the ends by their age.
func (s *server) setWeights(now time.Time) {
	weight := 1.0
	for i := range s.ends {
		e := &s.ends[(s.next+len(s.ends)-1-i)%len(s.ends)]
		e.weight = weight * ageWeight(now.Sub(e.at))
		weight *= endDecay
	}
	if s.prior != nil {
		s.prior.weight = weight * ageWeight(now.Sub(s.prior.recordedAt))
	}
}

// addToSteps adds the ends to the sums of their steps. It returns the steps to which it is the first to add in this sweep.
func (s *server) addToSteps(sweep int, added []*step) []*step {
	for i := range s.ends {
		e := &s.ends[i]
		if e.step.sweep != sweep {
			e.step.sweep, e.step.weight, e.step.sum = sweep, 0, 0
			added = append(added, e.step)
		}
		weight := e.counted()
		e.step.weight += weight
		e.step.sum += weight * (e.run + s.speed)
	}
	return added
}

// update estimates the speed from what the steps' other runs and the estimates say about the work of each run.
func (s *server) update() {
	precision := s.prior.precision()
	sum := 0.0
	switch {
	case s.prior != nil:
		sum = precision * s.prior.speed
	case len(s.ends) < firstEnds:
		precision = 1
	}
	for i := range s.ends {
		e := &s.ends[i]
		weight := e.counted()
		work, variance := e.step.workWithout(weight, weight*(e.run+s.speed))
		variance += taskSpread * taskSpread
		observed := work - e.run
		e.trust = 1
		if distance := math.Abs(observed-s.speed) / math.Sqrt(variance); distance > outlierLimit {
			e.trust = outlierLimit / distance
		}
		precision += e.counted() / variance
		sum += e.counted() / variance * observed
	}
	if precision <= 0 {
		s.deviation = math.Inf(1)
		return
	}
	s.speed, s.deviation = sum/precision, 1/math.Sqrt(precision)
}

// knownFrom reports whether the speed is known from a number of ends and with a standard deviation. A restored speed was known from enough.
func (s *server) knownFrom(ends int, deviation float64) bool {
	return s.deviation <= deviation && (s.prior != nil || len(s.ends) >= ends)
}
