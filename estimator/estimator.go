package estimator

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// longFactor is the ratio between the run time above which work counts as long and the run time of the short work
	// that must not wait behind it.
	longFactor = 4
	// shortShare is the share of the arrivals that counts as short work: those with the shortest run times. A tenth of
	// the traffic is enough to deserve protection from long work.
	shortShare = 0.1
	// arrivalWindow is the effective number of recent arrivals from which the mix of kinds is learned. A change of the
	// mix is followed within about a thousand requests.
	arrivalWindow = 1000
	// noLongLimit is the long limit before any arrival has been observed.
	noLongLimit = time.Duration(math.MaxInt64)
)

type key struct {
	service describer.ServiceID
	kind    describer.KindID
}

// Estimator holds the learners of all configured kinds. It is not safe for concurrent use.
type Estimator struct {
	learning     bool
	learners     map[key]*Learner
	arrivals     histogram
	longLimit    time.Duration
	sinceRefresh int
}

// Option changes how an Estimator is built.
type Option func(*Estimator)

// WithoutLearning uses the declared run times only.
func WithoutLearning() Option {
	return func(e *Estimator) { e.learning = false }
}

// New returns an estimator without kinds.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		learning:  true,
		learners:  make(map[key]*Learner),
		arrivals:  newHistogram(arrivalWindow),
		longLimit: noLongLimit,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetServices replaces the configured services. Kinds that are still configured keep their learned run times. All kinds
// of a service that are not configured share one learner, because callers choose their names and could otherwise use up
// the memory.
func (e *Estimator) SetServices(services []describer.Service) {
	kept := make(map[key]*Learner, len(e.learners))
	for _, service := range services {
		e.carryOver(kept, key{service: service.ID}, describer.Kind{})
		for id, kind := range service.Kinds {
			e.carryOver(kept, key{service: service.ID, kind: id}, kind)
		}
	}
	e.learners = kept
}

func (e *Estimator) carryOver(kept map[key]*Learner, k key, kind describer.Kind) {
	learner, known := e.learners[k]
	if !known {
		kept[k] = newLearner(e, kind)
		return
	}
	learner.setDeclared(kind)
	kept[k] = learner
}

// LearnerOf returns the learner of a kind, and nil when the service is not configured.
func (e *Estimator) LearnerOf(service describer.ServiceID, kind describer.KindID) *Learner {
	if learner, known := e.learners[key{service, kind}]; known {
		return learner
	}
	return e.learners[key{service: service}]
}

// ObserveArrival records the expected median run time of an arriving request, from which the mix of kinds is learned.
func (e *Estimator) ObserveArrival(median time.Duration) {
	e.arrivals.add(median)
	e.sinceRefresh++
	if e.sinceRefresh >= refreshEvery || e.arrivals.samples <= refreshEvery {
		e.sinceRefresh = 0
		e.longLimit = longFactor * e.arrivals.quantile(shortShare)
	}
}

// LongLimit returns the run time above which work counts as long. It follows the shortest common kinds. It is derived
// from the median run times of the arrivals rather than from single run times: if there is only a single kind, its work
// never counts as long, however widely its run times are spread.
func (e *Estimator) LongLimit() time.Duration {
	return e.longLimit
}

// IsLong reports whether work with the given estimate counts as long.
func (e *Estimator) IsLong(estimate Estimate) bool {
	return estimate.Median > e.longLimit
}
