package admitter

import (
	"math/rand/v2"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// Verdict is the result of an admission check.
type Verdict struct {
	Admitted bool
	// Kind and RetryAt belong to the error response to a request that is not admitted.
	Kind    classifier.Kind
	RetryAt time.Time
	// Wait is the expected time in the queue.
	Wait time.Duration
}

// Load describes the work that a request would wait for in the queue.
type Load struct {
	// Work is the sum of the run times of the work that is served before the request.
	Work time.Duration
	// Slots is the number of slots that serve this work.
	Slots float64
	// Run is the expected run time of the request.
	Run time.Duration
	// Long is true for long work, which may fill only a part of the queue.
	Long bool
	// OnlyOfKind is true when no other request of the same kind is in progress. Such a request is admitted regardless
	// of its estimate, because a kind whose requests are all refused would never correct a wrong estimate.
	OnlyOfKind bool
}

type teamKey struct {
	service describer.ServiceID
	team    describer.TeamID
}

type classKey struct {
	service describer.ServiceID
	class   describer.Class
}

// Admitter counts the requests in progress and checks new ones. It is not safe for concurrent use.
type Admitter struct {
	seed        uint64
	random      *rand.Rand
	queueBound  int
	adaptive    bool
	classLimits [describer.ClassCount]int

	ready             bool
	services          map[describer.ServiceID]describer.Service
	inProgressByTeam  map[teamKey]int
	inProgressByClass [describer.ClassCount]int
	queuedByClass     map[classKey]int
	queued            int
	waitCorrections   [describer.ClassCount]correction
	shares            queueShares
}

// New returns an admitter without services.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		seed:             1,
		queueBound:       defaultQueueBound,
		adaptive:         true,
		services:         make(map[describer.ServiceID]describer.Service),
		inProgressByTeam: make(map[teamKey]int),
		queuedByClass:    make(map[classKey]int),
		shares:           newQueueShares(),
	}
	for class := range a.waitCorrections {
		a.waitCorrections[class] = newCorrection()
	}
	for _, opt := range opts {
		opt(a)
	}
	a.random = rand.New(rand.NewPCG(a.seed, 0))
	return a
}

// SetServices replaces the configured services.
func (a *Admitter) SetServices(services []describer.Service) {
	a.ready = true
	a.services = make(map[describer.ServiceID]describer.Service, len(services))
	for _, service := range services {
		a.services[service.ID] = service
	}
}

// BeginRequest counts an admitted request as in progress.
func (a *Admitter) BeginRequest(request describer.Request) {
	a.inProgressByTeam[teamKey{request.Service, request.Team}]++
	a.inProgressByClass[request.Class]++
}

// EndRequest counts a request as no longer in progress.
func (a *Admitter) EndRequest(request describer.Request) {
	a.inProgressByClass[request.Class]--
	decrement(a.inProgressByTeam, teamKey{request.Service, request.Team})
}

// Enqueue counts a request as waiting.
func (a *Admitter) Enqueue(request describer.Request) {
	a.queuedByClass[classKey{request.Service, request.Class}]++
	a.queued++
	a.shares.add(request)
}

// Dequeue counts a request as no longer waiting.
func (a *Admitter) Dequeue(request describer.Request) {
	decrement(a.queuedByClass, classKey{request.Service, request.Class})
	a.queued--
	a.shares.remove(request)
}

// decrement deletes a counter that reaches zero, because callers choose the names of teams and could otherwise use up
// the memory.
func decrement[K comparable](counters map[K]int, key K) {
	if counters[key] <= 1 {
		delete(counters, key)
		return
	}
	counters[key]--
}

// retryAfter returns the time after a delay with jitter, so that refused requests are not all retried at the same time.
func (a *Admitter) retryAfter(now time.Time, delay time.Duration) time.Time {
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return now.Add(delay + time.Duration(a.random.Int64N(int64(delay/2))))
}
