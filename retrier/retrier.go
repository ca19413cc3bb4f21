package retrier

import (
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// defaultAttempts bounds the attempts of one request, so that a request that makes servers fail does not reach one
	// server after another.
	defaultAttempts = 4

	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Attempt describes an attempt that ended without a complete response.
type Attempt struct {
	Service    describer.ServiceID
	Deadline   time.Time
	Repeatable bool
	Evidence   describer.Evidence
	// ResponseStarted is true when at least one byte of a response has been sent to the caller.
	ResponseStarted bool
	// MayHaveRun is true when an earlier attempt may have run.
	MayHaveRun bool
	// Attempts is the number of attempts so far.
	Attempts int
	// MinRunTime is the shortest run time that is expected of the next attempt.
	MinRunTime time.Duration
}

// Decision is whether and when the request is retried.
type Decision struct {
	Retry bool
	At    time.Time
}

// Retrier applies the evidence rules, the budget and the backoff. It is not safe for concurrent use.
type Retrier struct {
	seed         uint64
	random       *rand.Rand
	attempts     int
	limitRetries bool
	budgets      map[describer.ServiceID]*budget
}

// Option changes how a Retrier is built.
type Option func(*Retrier)

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(r *Retrier) { r.seed = seed }
}

// WithAttempts sets the largest number of attempts of a request; one means no retries.
func WithAttempts(attempts int) Option {
	return func(r *Retrier) { r.attempts = attempts }
}

// WithoutBudget allows retries regardless of their share of the load.
func WithoutBudget() Option {
	return func(r *Retrier) { r.limitRetries = false }
}

// New returns a retrier without recorded successes.
func New(opts ...Option) *Retrier {
	r := &Retrier{
		seed:         1,
		attempts:     defaultAttempts,
		limitRetries: true,
		budgets:      make(map[describer.ServiceID]*budget),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.random = rand.New(rand.NewPCG(r.seed, 0))
	return r
}

// SetServices removes the budgets of services that are no longer configured.
func (r *Retrier) SetServices(services []describer.Service) {
	kept := make(map[describer.ServiceID]*budget, len(services))
	for _, service := range services {
		kept[service.ID] = r.budgetOf(service.ID)
	}
	r.budgets = kept
}

// RecordSuccess records an answered attempt, which adds to the retry budget of the service.
func (r *Retrier) RecordSuccess(now time.Time, service describer.ServiceID) {
	r.budgetOf(service).succeed(now)
}

// Decide returns whether and when the request of a failed attempt is retried. A retry must be allowed by the evidence
// rules, the number of attempts, the deadline and the budget.
func (r *Retrier) Decide(now time.Time, attempt Attempt) Decision {
	at := now.Add(r.backoff(attempt.Attempts))
	if !Permitted(attempt) || attempt.Attempts >= r.attempts {
		return Decision{At: at}
	}
	if !at.Add(attempt.MinRunTime).Before(attempt.Deadline) {
		return Decision{At: at}
	}
	if r.limitRetries && !r.budgetOf(attempt.Service).spend(now, costOf(attempt.Evidence)) {
		return Decision{At: at}
	}
	return Decision{Retry: true, At: at}
}

// Permitted applies the evidence rules: a request that may have run is retried only if it is repeatable, and no request
// is retried after its response has started or after egretring itself aborted the attempt.
func Permitted(attempt Attempt) bool {
	if attempt.ResponseStarted {
		return false
	}
	switch attempt.Evidence {
	case describer.NotSent, describer.Refused:
		return attempt.Repeatable || !attempt.MayHaveRun
	case describer.Failed, describer.Truncated, describer.Broken:
		return attempt.Repeatable
	default:
		return false
	}
}

func costOf(evidence describer.Evidence) float64 {
	if evidence.ProvesNotRun() {
		return notRunCost
	}
	return 1
}

// backoff returns a delay that doubles with each attempt up to maxBackoff. Half of it is random, so that requests that
// failed together are not retried together.
func (r *Retrier) backoff(attempts int) time.Duration {
	limit := min(firstBackoff<<min(max(attempts-1, 0), 10), maxBackoff)
	return limit/2 + time.Duration(r.random.Int64N(int64(limit/2)))
}

func (r *Retrier) budgetOf(service describer.ServiceID) *budget {
	b, known := r.budgets[service]
	if !known {
		b = &budget{}
		r.budgets[service] = b
	}
	return b
}
