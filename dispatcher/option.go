package dispatcher

import (
	"egretring.example/egretring/admitter"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/estimator"
	"egretring.example/egretring/picker"
	"egretring.example/egretring/queuer"
	"egretring.example/egretring/retrier"
)

// policy is the configuration of a Dispatcher and of the components that it builds.
type policy struct {
	seed           uint64
	reserve        bool
	longCap        bool
	relays         bool
	dropUnmeetable bool
	estimator      []estimator.Option
	queuer         []queuer.Option
	admitter       []admitter.Option
	picker         []picker.Option
	retrier        []retrier.Option
}

// Option changes the scheduling policy of a Dispatcher.
type Option func(*policy)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(p *policy) { p.seed = seed }
}

// WithoutUrgentReserve keeps no slots for Urgent requests.
func WithoutUrgentReserve() Option {
	return func(p *policy) { p.reserve = false }
}

// WithoutLongCap allows long work to occupy all slots.
func WithoutLongCap() Option {
	return func(p *policy) { p.longCap = false }
}

// WithoutClassWeights serves a class only while no more urgent class waits (strict priority).
func WithoutClassWeights() Option {
	return func(p *policy) { p.queuer = append(p.queuer, queuer.WithoutWeights()) }
}

// WithoutAgeing gives requests no higher precedence for having waited long.
func WithoutAgeing() Option {
	return func(p *policy) { p.queuer = append(p.queuer, queuer.WithoutAgeing()) }
}

// WithoutShortestFirst serves the kinds of a class in order of arrival.
func WithoutShortestFirst() Option {
	return func(p *policy) { p.queuer = append(p.queuer, queuer.WithoutShortestFirst()) }
}

// WithoutLearnedEstimates uses the declared run times only.
func WithoutLearnedEstimates() Option {
	return func(p *policy) { p.estimator = append(p.estimator, estimator.WithoutLearning()) }
}

// WithPickRule sets how the backend server is chosen.
func WithPickRule(rule picker.Rule) Option {
	return func(p *policy) { p.picker = append(p.picker, picker.WithRule(rule)) }
}

// WithoutEjection keeps failing backend servers in use.
func WithoutEjection() Option {
	return func(p *policy) { p.picker = append(p.picker, picker.WithoutEjection()) }
}

// WithoutAdaptiveAdmission admits requests by the fixed limits only.
func WithoutAdaptiveAdmission() Option {
	return func(p *policy) {
		p.dropUnmeetable = false
		p.admitter = append(p.admitter, admitter.WithoutAdaptation())
	}
}

// WithoutRetryBudget allows retries regardless of their share of the load.
func WithoutRetryBudget() Option {
	return func(p *policy) { p.retrier = append(p.retrier, retrier.WithoutBudget()) }
}

// WithAttempts sets the largest number of attempts of a request; one means no retries.
func WithAttempts(attempts int) Option {
	return func(p *policy) { p.retrier = append(p.retrier, retrier.WithAttempts(attempts)) }
}

// WithoutRelays sends no requests to peers.
func WithoutRelays() Option {
	return func(p *policy) { p.relays = false }
}

// WithQueueBound sets the largest number of waiting requests of all services together.
func WithQueueBound(bound int) Option {
	return func(p *policy) { p.admitter = append(p.admitter, admitter.WithQueueBound(bound)) }
}

// WithClassLimit bounds the requests in progress of a class; zero means no limit.
func WithClassLimit(class describer.Class, limit int) Option {
	return func(p *policy) { p.admitter = append(p.admitter, admitter.WithClassLimit(class, limit)) }
}

// WithFIFOBaseline sets the baseline policy for comparisons that has one first-in, first-out queue and chooses a random
// server with a free slot.
func WithFIFOBaseline() Option {
	return func(p *policy) {
		disableCommonFeatures(p)
		p.queuer = append(p.queuer, queuer.WithSingleQueue())
		p.picker = append(p.picker, picker.WithRule(picker.Random))
	}
}

// WithPriorityBaseline sets the baseline policy for comparisons that has strict class priority and chooses the servers
// with a free slot round robin.
func WithPriorityBaseline() Option {
	return func(p *policy) {
		disableCommonFeatures(p)
		p.queuer = append(p.queuer, queuer.WithoutWeights(), queuer.WithoutAgeing(), queuer.WithoutShortestFirst())
		p.picker = append(p.picker, picker.WithRule(picker.RoundRobin))
	}
}

// disableCommonFeatures switches off the features that neither baseline has.
func disableCommonFeatures(p *policy) {
	for _, opt := range []Option{
		WithoutUrgentReserve(), WithoutLongCap(), WithoutLearnedEstimates(), WithoutEjection(), WithoutAdaptiveAdmission(),
	} {
		opt(p)
	}
}
