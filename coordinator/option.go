package coordinator

import (
	"log/slog"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/timekeeper"
)

const (
	// listInterval is how often the owner reads the registered backend servers.
	listInterval = 300 * time.Millisecond
	// memberInterval is how often the owner reads the members, memberRenewal how often members renew their lease, and
	// memberLeaseTTL the time to live of that lease.
	memberInterval = 700 * time.Millisecond
	memberRenewal  = time.Second
	memberLeaseTTL = 4 * time.Second
	// intakePause is the pause between two watches of submissions: each watch counts as a call to the store, and the
	// accepting instances notify the owner of submissions anyway.
	intakePause = 100 * time.Millisecond
	// intakeWait is how long a watch waits for submissions. When it returns none, submissions are listed, because a
	// store that is about to compact its history may omit changes from its watches.
	intakeWait = 1500 * time.Millisecond
	// planInterval is the longest time between two plans of the owner's state machine.
	planInterval = 25 * time.Millisecond
	// minPlanInterval is the shortest time between two plans, so that events that arrive together share one plan: each
	// plan costs as much as handling several events.
	minPlanInterval = time.Millisecond
	// minPlanDelay is the shortest delay of a plan that the state machine requests for a given time. It limits how often
	// plans are repeated while the state machine waits for the store.
	minPlanDelay = 3 * time.Millisecond
	// orderTimeout bounds a start or stop order; a healthy backend server responds within a few milliseconds.
	orderTimeout = 600 * time.Millisecond
	// renewTimeout is added to the wait of a Renew call to get its timeout.
	renewTimeout = 700 * time.Millisecond
	// retryInterval is the pause after a failed store call.
	retryInterval = 60 * time.Millisecond
	// shortCallTimeout bounds a query to another instance. A job state that the owner has not returned by then is read
	// from the store.
	shortCallTimeout = 250 * time.Millisecond
	// stoppedInterval is the pause between two queries to an earlier owner that has not stopped or does not respond.
	stoppedInterval = 250 * time.Millisecond
	// maxRelayWait bounds the wait for an owner that stores a submission for this instance; a slow store takes about
	// 250 ms. The bound leaves callers time to submit elsewhere when the owner does not respond.
	maxRelayWait = 700 * time.Millisecond
	// largerFactor is the ratio of processors above which a larger instance should own the cell, and
	// largerInstanceDelay how long smaller ones wait in an election for it: twice as long as an election takes.
	largerFactor        = 1.25
	largerInstanceDelay = 400 * time.Millisecond
	// minTermBeforeHandOver is how long an owner keeps the ownership before it hands over to a larger or less loaded
	// instance.
	minTermBeforeHandOver = 2 * time.Second
	// relayMargin leaves time for the owner's response to arrive.
	relayMargin = 80 * time.Millisecond
	// maxPeerConnections bounds the connections of other instances to this one. Each of a thousand instances has one to an owner
	// for each of its three kinds of calls, and a process on the smallest instances may have 4,100 descriptors.
	maxPeerConnections = 3200
	// eventQueueSize bounds the events that are queued for the owner's goroutine.
	eventQueueSize = 8192
	// maxEventsPerPlan bounds the events that are applied before the next plan.
	maxEventsPerPlan = 512
)

type settings struct {
	store     keeper.TransactionalStore
	servers   BackendServers
	directory Directory
	// configurations follows the configuration; nil until New if the coordinator runs a follower of its own.
	configurations *follower.Follower
	advice         AdviceService
	clock          timekeeper.Clock
	logger         *slog.Logger
	meter          *meter.Meter
	conductor      []conductor.Option
	intake         []intaker.Option
	instance       string
	// address is where other instances call this one.
	address string
	dial    messenger.Dial
	// processors is the number of processors, possibly a fraction, that the instance may use; zero is unknown.
	processors float64
	// electionDelay returns how long the instance waits in an election for others, in addition to the wait for larger
	// ones.
	electionDelay func() time.Duration
	// shouldHandOver reports whether another instance should take over because this one owns other shards, too. Its
	// parameter is the number of members, this one included, that are not much smaller than this instance.
	shouldHandOver func(similar int) bool
	// advises reports whether an instance is designated to make advice calls for this owner; nil designates none.
	advises func(instance string) bool
	// shards is nil when the cell has one shard.
	shards *Shards
	// membership is nil until New if the coordinator has one of its own.
	membership *Membership
	// health tells whether the store serves this instance; nil until New if the coordinator does not share it.
	health *keeper.Health
}

// Option configures a Coordinator.
type Option func(*settings)

// WithStore sets the store.
func WithStore(store keeper.TransactionalStore) Option {
	return func(s *settings) { s.store = store }
}

// WithBackendServers sets the client that sends orders to backend servers.
func WithBackendServers(servers BackendServers) Option {
	return func(s *settings) { s.servers = servers }
}

// WithDirectory sets the reader of configuration and backend servers.
func WithDirectory(directory Directory) Option {
	return func(s *settings) { s.directory = directory }
}

// WithConfigurations sets a follower of the configuration that several coordinators share. Without it, the coordinator runs
// one of its own.
func WithConfigurations(configurations *follower.Follower) Option {
	return func(s *settings) { s.configurations = configurations }
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

// WithConductor sets options of the owner's state machine.
func WithConductor(options ...conductor.Option) Option {
	return func(s *settings) { s.conductor = append(s.conductor, options...) }
}

// WithIntake sets options of the intake of submissions.
func WithIntake(options ...intaker.Option) Option {
	return func(s *settings) { s.intake = append(s.intake, options...) }
}

// WithInstance sets the name of the instance and the address on which other instances call it.
func WithInstance(name, address string) Option {
	return func(s *settings) { s.instance, s.address = name, address }
}

// WithProcessors sets the number of processors, possibly a fraction, that the instance may use.
func WithProcessors(share float64) Option {
	return func(s *settings) { s.processors = share }
}

// WithElectionDelay sets a function that returns how long the instance waits in an election for others to win it.
func WithElectionDelay(delay func() time.Duration) Option {
	return func(s *settings) { s.electionDelay = delay }
}

// WithHandOverCheck sets a function that reports whether another instance should take over because this one owns other
// shards, too, given the number of members, this one included, that are not much smaller than this instance.
func WithHandOverCheck(shouldHandOver func(similar int) bool) Option {
	return func(s *settings) { s.shouldHandOver = shouldHandOver }
}

// WithAdvisors sets a function that reports whether an instance is designated to make advice calls for the owner.
// Without a designated member all instances make them.
func WithAdvisors(advises func(instance string) bool) Option {
	return func(s *settings) { s.advises = advises }
}

// WithHealth shares what is known of the store with its other users.
func WithHealth(health *keeper.Health) Option {
	return func(s *settings) { s.health = health }
}

// WithMembership sets a membership that several coordinators share. Without it, the coordinator has one of its own.
func WithMembership(membership *Membership) Option {
	return func(s *settings) { s.membership = membership }
}

// WithDial replaces the function that opens connections to other instances.
func WithDial(dial messenger.Dial) Option {
	return func(s *settings) { s.dial = dial }
}
