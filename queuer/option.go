package queuer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// patience is how much earlier than short work, in multiples of its own run time, long work must have arrived to
	// be served first. It keeps short work ahead of long work and bounds the wait of long work.
	patience = 8
	// ageAfter is the wait after which the oldest work of a class gets turns outside the order of the classes.
	ageAfter = 2 * time.Second
	// agedShare is the share of slot time that aged work may take ahead of its turn. It counts slot time rather than
	// turns, because one turn of long work would displace urgent work at a peak for its whole run.
	agedShare = 0.02
)

// defaultWeights give Urgent four fifths of the slot time when all classes wait.
var defaultWeights = [describer.ClassCount]float64{32, 8, 1}

type policy struct {
	weights  [describer.ClassCount]float64
	weighted bool
	ageing   bool
	shortest bool
	single   bool
}

// Option changes how a Queuer is built.
type Option func(*policy)

// WithWeights sets the shares of slot time that the classes get when all of them wait.
func WithWeights(weights [describer.ClassCount]float64) Option {
	return func(p *policy) { p.weights = weights }
}

// WithoutWeights serves a less urgent class only when no more urgent class waits.
func WithoutWeights() Option {
	return func(p *policy) { p.weighted = false }
}

// WithoutAgeing gives no turns to work because of its wait alone.
func WithoutAgeing() Option {
	return func(p *policy) { p.ageing = false }
}

// WithoutShortestFirst serves the flows of a class in order of arrival.
func WithoutShortestFirst() Option {
	return func(p *policy) { p.shortest = false }
}

// WithSingleQueue serves all work in order of arrival, whatever its class.
func WithSingleQueue() Option {
	return func(p *policy) {
		p.single = true
		p.ageing = false
		p.shortest = false
	}
}
