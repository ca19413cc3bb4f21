package generator

import (
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// Kind is one kind of request and its share of the load.
type Kind struct {
	ID    describer.KindID
	Class describer.Class
	// Weight is the weight of the kind: its part of the arrivals is its weight divided by the sum of all weights.
	Weight     float64
	Repeatable bool
	RunTime    RunTime
	Timeout    time.Duration
}

// Team is one team and its share of the load.
type Team struct {
	ID describer.TeamID
	// Weight is the weight of the team: its part of the arrivals is its weight divided by the sum of all weights.
	Weight float64
}

// LoadSwing is a load swing: a period during which the arrival rate is multiplied by a factor. The factors of swings
// that overlap are multiplied.
type LoadSwing struct {
	// From is the offset at which the load begins to rise.
	From time.Duration
	// Rise, Hold and Fall are how long the load rises to the factor, stays at it, and falls back.
	Rise   time.Duration
	Hold   time.Duration
	Fall   time.Duration
	Factor float64
}

// factorAt returns the factor of the swing at an offset.
func (s LoadSwing) factorAt(offset time.Duration) float64 {
	since := offset - s.From
	rise, hold, fall := s.Rise, s.Rise+s.Hold, s.Rise+s.Hold+s.Fall
	switch {
	case since < 0 || since >= fall:
		return 1
	case since < rise:
		return 1 + (s.Factor-1)*float64(since)/float64(rise)
	case since < hold:
		return s.Factor
	default:
		return 1 + (s.Factor-1)*float64(fall-since)/float64(s.Fall)
	}
}

// CancellationBurst is a burst of cancellations: many callers cancel their requests at the same time.
type CancellationBurst struct {
	// At is the offset of the burst.
	At time.Duration
	// Window is the longest time before At at which a request that the burst cancels may have arrived.
	Window time.Duration
	// Share is the share of the requests within Window that the burst cancels.
	Share float64
}

// Load describes a load of requests.
type Load struct {
	Service           describer.ServiceID
	AvailabilityZones []describer.AvailabilityZoneID
	Kinds             []Kind
	Teams             []Team
	// PerSecond is the mean number of arrivals a second outside load swings.
	PerSecond  float64
	Duration   time.Duration
	LoadSwings []LoadSwing
	// CancelShare is the share of requests that their callers cancel at a random time before the deadline.
	CancelShare        float64
	CancellationBursts []CancellationBurst
}

// MeanRunTime returns the mean run time of a request over all kinds.
func (l Load) MeanRunTime() time.Duration {
	total, shares := 0.0, 0.0
	for _, kind := range l.Kinds {
		total += kind.Weight * float64(kind.RunTime.Mean())
		shares += kind.Weight
	}
	return time.Duration(total / shares)
}

// WithUtilization returns a copy whose arrivals keep a share of the slots busy outside load swings.
func (l Load) WithUtilization(share float64, slots int) Load {
	l.PerSecond = share * float64(slots) / l.MeanRunTime().Seconds()
	return l
}

// WithDuration returns a copy with another duration.
func (l Load) WithDuration(duration time.Duration) Load {
	l.Duration = duration
	return l
}

// WithLoadSwings returns a copy with other load swings.
func (l Load) WithLoadSwings(swings ...LoadSwing) Load {
	l.LoadSwings = swings
	return l
}

// WithCancellationBursts returns a copy with other bursts of cancellations.
func (l Load) WithCancellationBursts(bursts ...CancellationBurst) Load {
	l.CancellationBursts = bursts
	return l
}

// WithTimeScale returns a copy whose median run times and timeouts are multiplied by a factor, for a demo whose
// requests differ in length from real ones.
func (l Load) WithTimeScale(factor float64) Load {
	kinds := make([]Kind, len(l.Kinds))
	for i, kind := range l.Kinds {
		kind.RunTime.Median = time.Duration(float64(kind.RunTime.Median) * factor)
		kind.Timeout = time.Duration(float64(kind.Timeout) * factor)
		kinds[i] = kind
	}
	l.Kinds = kinds
	return l
}

// factorAt returns the product of the factors of all swings at an offset.
func (l Load) factorAt(offset time.Duration) float64 {
	factor := 1.0
	for _, swing := range l.LoadSwings {
		factor *= swing.factorAt(offset)
	}
	return factor
}

// highestFactor returns an upper bound of factorAt.
func (l Load) highestFactor() float64 {
	factor := 1.0
	for _, swing := range l.LoadSwings {
		factor *= max(1, swing.Factor)
	}
	return factor
}

func (l Load) validate() error {
	switch {
	case len(l.Kinds) == 0 || len(l.Teams) == 0 || len(l.AvailabilityZones) == 0:
		return errors.New("load needs at least one kind, one team and one availability zone")
	case l.PerSecond <= 0:
		return errors.Errorf("arrivals per second are %g; they must be above 0", l.PerSecond)
	case l.CancelShare < 0 || l.CancelShare > 1:
		return errors.Errorf("share of cancelled requests is %g; it must be from 0 to 1", l.CancelShare)
	}
	for _, kind := range l.Kinds {
		if kind.Weight <= 0 || kind.Timeout <= 0 || kind.RunTime.Median <= 0 {
			return errors.Errorf("kind %q needs a weight, a timeout and a median run time above 0", kind.ID)
		}
	}
	for _, swing := range l.LoadSwings {
		if swing.Factor < 0 || swing.Rise < 0 || swing.Hold < 0 || swing.Fall < 0 {
			return errors.Errorf("load swing at %s has a negative duration or factor", swing.From)
		}
	}
	return nil
}
