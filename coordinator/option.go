package coordinator

import (
	"log/slog"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/timekeeper"
)

const (
	// configurationInterval is how often the configuration is read; operators expect it in force within seconds.
	configurationInterval = 600 * time.Millisecond
	// listInterval is how often the owner reads the registered backend servers.
	listInterval = 300 * time.Millisecond
	// memberInterval is how often the owner reads the members, and memberRenewal how often members renew their lease.
	memberInterval = 700 * time.Millisecond
	memberRenewal  = time.Second
	memberLife     = 4 * time.Second
	// intakePause is the pause between two watches of submissions: each answered watch is a call to the store, and the
	// accepting instances tell the owner of submissions anyway.
	intakePause = 100 * time.Millisecond
	// intakeWait is how long a watch waits for submissions. When it brings none, submissions are listed, because a store
	// that is about to forget its history may keep changes from its watches.
	intakeWait = 1500 * time.Millisecond
	// planInterval is the longest time between two plans of the owner.
	planInterval = 25 * time.Millisecond
	// shortestPlanInterval gathers the events of a moment into one plan, because each plan costs as much as handling several
	// events.
	shortestPlanInterval = time.Millisecond
	// shortestWait keeps a plan that waits for the store from being repeated all the time.
	shortestWait = 3 * time.Millisecond
	// orderTimeout bounds a start or stop; a healthy server answers within a few milliseconds.
	orderTimeout = 600 * time.Millisecond
	// holdTimeout is added to the wait of a hold.
	holdTimeout = 700 * time.Millisecond
	// retryInterval is the pause after a store call without success.
	retryInterval = 60 * time.Millisecond
	// stateTimeout bounds a question to the owner; after it the store is read.
	stateTimeout = 250 * time.Millisecond
	// stoppedInterval is the pause between two questions to an earlier owner that has not stopped or does not answer.
	stoppedInterval = 250 * time.Millisecond
	// longestRelay bounds the wait for an owner that stores a submission for this instance; a slow store takes about 250 ms.
	// Callers of an owner that does not answer still have time to submit elsewhere.
	longestRelay = 700 * time.Millisecond
	// muchLarger is the factor from which on a larger instance should own the cell, and largerFirst how long smaller ones leave
	// an election to it: twice as long as an election takes.
	muchLarger  = 1.25
	largerFirst = 400 * time.Millisecond
	// shortestStay is how long an owner stays on duty before it hands over to a larger instance.
	shortestStay = 2 * time.Second
	// relayMargin leaves time for the answer of the owner to travel back.
	relayMargin = 30 * time.Millisecond
	// queuedEvents bounds the events that wait for the owner's goroutine.
	queuedEvents = 8192
	// plannedEvents bounds the events that are applied before the next plan.
	plannedEvents = 512
)

type settings struct {
	store     keeper.TransactionalStore
	servers   BackendServers
	directory Directory
	advice    AdviceService
	clock     timekeeper.Clock
	logger    *slog.Logger
	meter     *meter.Meter
	conductor []conductor.Option
	instance  string
	// address is where other instances call this one.
	address string
	dial    messenger.Dial
	// processors is the instance's share of processors; zero is unknown.
	processors float64
	// electionDelay is how long the instance leaves an election to others, beside larger ones.
	electionDelay func() time.Duration
	// crowded reports whether the instance owns so much else that another one should take over.
	crowded func(equals int) bool
	// advises reports whether an instance makes advice calls for this owner.
	advises func(instance string) bool
}

// Option configures a Coordinator.
type Option func(*settings)

// WithStore sets the store.
func WithStore(store keeper.TransactionalStore) Option {
	return func(s *settings) { s.store = store }
}

// WithBackendServers sets what carries orders to backend servers.
func WithBackendServers(servers BackendServers) Option {
	return func(s *settings) { s.servers = servers }
}

// WithDirectory sets the reader of configuration and backend servers.
func WithDirectory(directory Directory) Option {
	return func(s *settings) { s.directory = directory }
}

// WithAdvice sets the advice service.
func WithAdvice(advice AdviceService) Option {
	return func(s *settings) { s.advice = advice }
}

// WithClock replaces the clock.
func WithClock(clock timekeeper.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(s *settings) { s.logger = logger }
}

// WithMeter sets the registry of metrics.
func WithMeter(m *meter.Meter) Option {
	return func(s *settings) { s.meter = m }
}

// WithConductor sets options of the owner's core.
func WithConductor(options ...conductor.Option) Option {
	return func(s *settings) { s.conductor = options }
}

// WithInstance names the instance and the address on which other instances call it.
func WithInstance(name, address string) Option {
	return func(s *settings) { s.instance, s.address = name, address }
}

// WithProcessors sets the instance's share of processors.
func WithProcessors(share float64) Option {
	return func(s *settings) { s.processors = share }
}

// WithElectionDelay sets a function that returns how long the instance leaves an election to others.
func WithElectionDelay(delay func() time.Duration) Option {
	return func(s *settings) { s.electionDelay = delay }
}

// WithCrowded sets a function that reports whether the instance owns so much else that another one should take over, given
// the number of instances of its size.
func WithCrowded(crowded func(equals int) bool) Option {
	return func(s *settings) { s.crowded = crowded }
}

// WithAdvisors restricts the instances that make advice calls for the owner.
func WithAdvisors(advises func(instance string) bool) Option {
	return func(s *settings) { s.advises = advises }
}

// WithDial replaces the way in which other instances are called.
func WithDial(dial messenger.Dial) Option {
	return func(s *settings) { s.dial = dial }
}
