package admitter

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// defaultQueueLimit bounds the queue of a class of a service that configures no limit.
	defaultQueueLimit = 1000
	// defaultQueueBound bounds the waiting requests of all services together.
	defaultQueueBound = 50_000
	// maxAhead bounds how far in the future a deadline may lie, so that no request waits for days.
	maxAhead = 24 * time.Hour

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// queueParts are the parts of the common bound that each class may fill. Less urgent work gives way first, so that
// it never keeps urgent work out of the queue.
var queueParts = [describer.ClassCount]float64{1, 0.8, 0.6}

// longPart is the part of a queue that long work may fill; the rest is kept for short work, which leaves it sooner.
const longPart = 0.75

// Option changes how an Admitter is built.
type Option func(*Admitter)

// WithSeed sets the seed of the jitter of retry times.
func WithSeed(seed uint64) Option {
	return func(a *Admitter) { a.seed = seed }
}

// WithQueueBound sets the largest number of waiting requests of all services together.
func WithQueueBound(bound int) Option {
	return func(a *Admitter) { a.bound = bound }
}

// WithClassLimit bounds the requests in progress of a class; zero means no limit.
func WithClassLimit(class describer.Class, limit int) Option {
	return func(a *Admitter) { a.classLimits[class] = limit }
}

// WithoutAdaptation admits by the fixed limits only, whatever the expected wait.
func WithoutAdaptation() Option {
	return func(a *Admitter) { a.adaptive = false }
}
