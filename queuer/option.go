package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// runTimeFactor is how much earlier than short work, in multiples of its own run time, long work must have arrived
	// to be served first. It keeps short work ahead of long work and bounds the wait of long work.
	runTimeFactor = 8
	// agedAfter is the wait after which the oldest work may be served ahead of the order of the classes.
	agedAfter = 2 * time.Second
	// agedShare is the share of slot time that aged work may take ahead of its order. It counts slot time rather than
	// served items, because one item of long work would displace urgent work at a peak for its whole run time.
	agedShare = 0.02
)

// defaultWeights give Urgent four fifths of the slot time when work of all classes is waiting.
var defaultWeights = [describer.ClassCount]float64{32, 8, 1}

type policy struct {
	weights       [describer.ClassCount]float64
	weighted      bool
	ageing        bool
	shortestFirst bool
	singleQueue   bool
}

// Option changes how a Queuer is built.
type Option func(*policy)

// WithWeights sets the weights by which the classes share the slot time when work of all classes is waiting.
func WithWeights(weights [describer.ClassCount]float64) Option {
	return func(p *policy) { p.weights = weights }
}

// WithoutWeights serves a class only when no work of a more urgent class is waiting.
func WithoutWeights() Option {
	return func(p *policy) { p.weighted = false }
}

// WithoutAgeing serves no work ahead of its order because of its wait.
func WithoutAgeing() Option {
	return func(p *policy) { p.ageing = false }
}

// WithoutShortestFirst serves the flows of a class in order of arrival.
func WithoutShortestFirst() Option {
	return func(p *policy) { p.shortestFirst = false }
}

// WithSingleQueue serves all work in order of arrival, regardless of its class.
func WithSingleQueue() Option {
	return func(p *policy) {
		p.singleQueue = true
		p.ageing = false
		p.shortestFirst = false
	}
}
