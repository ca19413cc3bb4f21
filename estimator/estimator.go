package estimator

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// longFactor is the ratio of long work to the short work that must not wait behind it.
	longFactor = 4
	// shortShare of the arrivals is taken as short work: a tenth of the traffic is enough to be protected.
	shortShare = 0.1
	// arrivalMemory follows the mix of kinds within about a thousand requests.
	arrivalMemory = 1000
	// noLimit is the long limit before anything is learned.
	noLimit = time.Duration(math.MaxInt64)
)

type key struct {
	service describer.ServiceID
	kind    describer.KindID
}

// Estimator holds the learners of all configured kinds. It is not safe for concurrent use.
type Estimator struct {
	learning bool
	learners map[key]*Learner
	arrivals histogram
	limit    time.Duration
	stale    int
}

// Option changes how an Estimator is built.
type Option func(*Estimator)

// WithoutLearning keeps the declared run times.
func WithoutLearning() Option {
	return func(e *Estimator) { e.learning = false }
}

// New returns an estimator without kinds.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		learning: true,
		learners: make(map[key]*Learner),
		arrivals: newHistogram(arrivalMemory),
		limit:    noLimit,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetServices replaces the configured services. Kinds that stay keep what was learned. All kinds of a service that
// are not configured share one learner, because callers choose their names and could otherwise use up the memory.
func (e *Estimator) SetServices(services []describer.Service) {
	kept := make(map[key]*Learner, len(e.learners))
	for _, service := range services {
		e.keep(kept, key{service: service.ID}, describer.Kind{})
		for id, kind := range service.Kinds {
			e.keep(kept, key{service: service.ID, kind: id}, kind)
		}
	}
	e.learners = kept
}

func (e *Estimator) keep(kept map[key]*Learner, k key, kind describer.Kind) {
	learner, known := e.learners[k]
	if !known {
		kept[k] = newLearner(e, kind)
		return
	}
	learner.declare(kind)
	kept[k] = learner
}

// LearnerOf returns the learner of a kind, and nil when the service is not configured.
func (e *Estimator) LearnerOf(service describer.ServiceID, kind describer.KindID) *Learner {
	if learner, known := e.learners[key{service, kind}]; known {
		return learner
	}
	return e.learners[key{service: service}]
}

// ObserveArrival learns the mix of kinds from the median run time of an arriving request.
func (e *Estimator) ObserveArrival(median time.Duration) {
	e.arrivals.add(median)
	e.stale++
	if e.stale >= refreshEvery || e.arrivals.samples <= refreshEvery {
		e.stale = 0
		e.limit = longFactor * e.arrivals.quantile(shortShare)
	}
}

// LongLimit is the run time above which work counts as long. It follows the shortest common kinds; the mix of
// arrivals is used rather than the run times, so that a single kind with widely spread run times is never all long.
func (e *Estimator) LongLimit() time.Duration {
	return e.limit
}

// IsLong reports whether work with the estimate counts as long.
func (e *Estimator) IsLong(estimate Estimate) bool {
	return estimate.Median > e.limit
}
