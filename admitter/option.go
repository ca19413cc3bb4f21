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
	// maxDeadlineAhead bounds the time to a deadline, so that no request waits for days. It is also the longest
	// expected wait.
	maxDeadlineAhead = 24 * time.Hour

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// classQueueShares are the shares of the common bound up to which requests of each class are queued. Less urgent work
// is refused first, so that it never keeps urgent work out of the queue.
var classQueueShares = [describer.ClassCount]float64{1, 0.8, 0.6}

// longQueueShare is the share of a queue up to which long work is queued; the remainder is kept for short work, which
// leaves the queue sooner.
const longQueueShare = 0.75

// Option changes how an Admitter is built.
type Option func(*Admitter)

// WithSeed sets the seed of the jitter of retry times.
func WithSeed(seed uint64) Option {
	return func(a *Admitter) { a.seed = seed }
}

// WithQueueBound sets the largest number of waiting requests of all services together.
func WithQueueBound(bound int) Option {
	return func(a *Admitter) { a.queueBound = bound }
}

// WithClassLimit bounds the requests in progress of a class; zero means no limit.
func WithClassLimit(class describer.Class, limit int) Option {
	return func(a *Admitter) { a.classLimits[class] = limit }
}

// WithoutAdaptation admits requests by the fixed limits only, regardless of the expected wait.
func WithoutAdaptation() Option {
	return func(a *Admitter) { a.adaptive = false }
}
