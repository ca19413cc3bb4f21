package forecaster

import (
	"maps"
	"math"
	"time"
)

// releaseHalfLife is the time in which what was learned about a rack loses half of its weight. It covers a few runs of the longest
// tasks of callers, which take some 5 s, and follows a change of the load within as long.
const releaseHalfLife = 10 * time.Second

// rackRetention is how long the ends of runs on a rack are counted after a task has preferred it. What was learned has lost nearly all
// of its weight by then.
const rackRetention = time.Minute

// Forecaster learns how fast racks release capacity. It is not safe for concurrent use.
type Forecaster struct {
	farFactor float64
	racks     map[string]*releases
	// preferredAt is when a task last preferred a rack. Only what these racks release is counted by RunEnded.
	preferredAt map[string]time.Time
}

// Option configures a Forecaster.
type Option func(*Forecaster)

// WithFarFactor sets the factor of the run time of tasks away from their rack. Up to 1 no task waits.
func WithFarFactor(factor float64) Option {
	return func(f *Forecaster) { f.farFactor = factor }
}

// New returns a Forecaster that has seen no ends of runs.
func New(options ...Option) *Forecaster {
	f := &Forecaster{racks: make(map[string]*releases), preferredAt: make(map[string]time.Time)}
	for _, option := range options {
		option(f)
	}
	return f
}

// releases is the decayed sum of the cores that a rack has released since the first observation.
type releases struct {
	firstAt, lastAt time.Time
	milliCores      float64
}

// Prefer records that a waiting task prefers a rack.
func (f *Forecaster) Prefer(now time.Time, rack string) {
	f.preferredAt[rack] = now
}

// RunEnded records that the end of a run has released capacity on a server with some labels, in thousandths of a core.
func (f *Forecaster) RunEnded(now time.Time, labels []string, milliCores int64) {
	if len(f.preferredAt) == 0 {
		return
	}
	for _, label := range labels {
		if _, preferred := f.preferredAt[label]; preferred {
			f.Released(now, label, milliCores)
		}
	}
}

// Released records that the end of a run has released capacity on a rack, in thousandths of a core.
func (f *Forecaster) Released(now time.Time, rack string, milliCores int64) {
	r := f.racks[rack]
	if r == nil {
		r = &releases{firstAt: now, lastAt: now}
		f.racks[rack] = r
	}
	r.decay(now)
	r.milliCores += float64(milliCores)
}

func (r *releases) decay(now time.Time) {
	if elapsed := now.Sub(r.lastAt); elapsed > 0 {
		r.milliCores *= math.Exp2(-elapsed.Seconds() / releaseHalfLife.Seconds())
		r.lastAt = now
	}
}

// rate returns the thousandths of a core that a rack releases in a second, or zero if no ends were seen.
func (f *Forecaster) rate(now time.Time, rack string) float64 {
	r := f.racks[rack]
	if r == nil {
		return 0
	}
	r.decay(now)
	// The weight of a steady rate since the first observation.
	meanLife := releaseHalfLife.Seconds() / math.Ln2
	weight := meanLife * -math.Expm1(-max(now.Sub(r.firstAt).Seconds(), minObservation.Seconds())/meanLife)
	return r.milliCores / weight
}

// minObservation is the shortest time to which ends are attributed, so that the first end does not look like an endless series.
const minObservation = time.Second

// Choice is a task for which only a far server is free.
type Choice struct {
	Rack string
	// RunTime is the expected run time near the data.
	RunTime time.Duration
	// WantedMilliCores is what the task and all tasks before it that want the rack need, in thousandths of a core.
	WantedMilliCores int64
	// LatestStart is when the task has to start near its data for its job to meet its objective.
	LatestStart time.Time
	// Contended is set while work waits for the capacity that a far run would occupy for longer.
	Contended bool
	// WaitingSince is since when the task has waited for the rack; zero if it has not.
	WaitingSince time.Time
}

// Forecast is what a decision is based on.
type Forecast struct {
	// Wait is set if the task should wait. WaitUntil is when to decide again at the latest.
	Wait      bool
	WaitUntil time.Time
	// NearIn is the expected time until a near server is free. It is maxForecast if nothing is known.
	NearIn time.Duration
	// Gain is by how much earlier the task is expected to end after the wait; negative if it ends later.
	Gain time.Duration
}

const (
	// decisionInterval is the longest time between two decisions about a task: the owner places tasks every 50 ms, under load less often.
	decisionInterval = 150 * time.Millisecond
	// maxForecast bounds the forecast for racks that release little.
	maxForecast = time.Hour
	// queueShare is the part of the longer run time on a far server that a wait may take while far servers are free. The rack runs as
	// many tasks with a short queue as with a long one, so that a longer queue only delays all tasks in it. While other work waits for
	// the far servers, a far run costs that work its whole length, and a wait may take all of the longer run time.
	queueShare = 0.25
)

// Applies reports whether any task waits.
func (f *Forecaster) Applies() bool {
	return f.farFactor > 1
}

// Decide returns whether a task should wait for a near server instead of starting on a far one now.
func (f *Forecaster) Decide(now time.Time, c Choice) Forecast {
	longer := time.Duration(float64(c.RunTime) * (f.farFactor - 1))
	forecast := Forecast{NearIn: f.nearIn(now, c)}
	forecast.Gain = longer - forecast.NearIn
	if longer <= 0 {
		return forecast
	}
	longest := time.Duration(float64(longer) * queueShare)
	if c.Contended {
		longest = longer
	}
	latestFarStart := c.LatestStart.Add(-longer)
	lastDecision := latestFarStart.Add(-decisionInterval)
	switch {
	case forecast.NearIn > longest:
		return forecast
	case now.Before(lastDecision):
		// A start on a far server still meets the objective until then.
		forecast.WaitUntil = lastDecision
	case now.Before(latestFarStart):
		return forecast
	case now.Add(forecast.NearIn).Before(c.LatestStart):
		// Only a near server meets the objective.
		forecast.WaitUntil = c.LatestStart
	case !now.Before(c.LatestStart) && !c.hasWaitedFor(now, longer):
		// The objective is missed in any case, so that the earlier end counts.
		forecast.WaitUntil = now.Add(forecast.NearIn)
	default:
		return forecast
	}
	forecast.Wait = true
	return forecast
}

// hasWaitedFor reports whether the task has waited for its rack for longer than a time. The forecast does not know which other tasks take
// what the rack releases, so that the wait might not end.
func (c *Choice) hasWaitedFor(now time.Time, limit time.Duration) bool {
	return !c.WaitingSince.IsZero() && now.Sub(c.WaitingSince) > limit
}

func (f *Forecaster) nearIn(now time.Time, c Choice) time.Duration {
	rate := f.rate(now, c.Rack)
	if rate <= 0 {
		return maxForecast
	}
	seconds := float64(c.WantedMilliCores) / rate
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

// Forget drops racks that no task has preferred for rackRetention, and what is known about racks that have not released capacity for so
// long that it has no weight, so that the state does not grow with racks that have left.
func (f *Forecaster) Forget(now time.Time) {
	maps.DeleteFunc(f.preferredAt, func(_ string, at time.Time) bool { return now.Sub(at) > rackRetention })
	const halfLives = 10
	for rack, r := range f.racks {
		if now.Sub(r.lastAt) > halfLives*releaseHalfLife {
			delete(f.racks, rack)
		}
	}
}
