package sharder

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

const (
	// delayPerOwnedShard is how long an instance waits in an election, for each shard that it already owns, for others
	// to win.
	delayPerOwnedShard = 150 * time.Millisecond
	// preferenceDelay bounds the delay that is derived from the instance and the shard, so that each shard prefers the
	// instances in a different order.
	preferenceDelay = 100 * time.Millisecond
	// maxMembershipWait bounds the wait for the members at the start; a slow store takes about 250 ms to respond.
	maxMembershipWait = 300 * time.Millisecond
)

// Build makes the coordinator of a shard from the shard's options, to which it adds those that are common to all
// shards.
type Build func(shard Shard, options ...coordinator.Option) (*coordinator.Coordinator, error)

// Sharder takes part in all shards of a cell.
type Sharder struct {
	store keeper.TransactionalStore
	// health tells whether the store serves this instance, for all shards.
	health    *keeper.Health
	directory coordinator.Directory
	// configurations follows the configuration for all shards, and membership registers the instance for all of them.
	configurations *follower.Follower
	membership     *coordinator.Membership
	instance       string
	// processors is the number of processors, possibly a fraction, that the instance may use; zero is unknown.
	processors float64
	build      Build
	logger     *slog.Logger
	meter      *meter.Meter
	keys       Keys
	// clock dates proofs of the configuration.
	clock        timekeeper.Clock
	freshnessLog freshnessLog
	tomb         tomb.Tomb
	// layout is set before shards.
	layout   layout
	shards   atomic.Pointer[[]*coordinator.Coordinator]
	draining atomic.Bool
}

// Options holds the dependencies and settings of a Sharder.
type Options struct {
	Store     keeper.TransactionalStore
	Directory coordinator.Directory
	// Instance is the name of this instance, Address where other instances call it, and Processors the number of processors, possibly a fraction, that it may
	// use, zero if that is unknown.
	Instance   string
	Address    string
	Processors float64
	Build      Build
	Keys       Keys
	// Clock neither steps nor stops; nil is the wall clock.
	Clock  timekeeper.Clock
	Logger *slog.Logger
	Meter  *meter.Meter
}

// New returns a Sharder that is not started.
func New(o Options) *Sharder {
	health := keeper.NewHealth(o.Logger)
	s := &Sharder{
		store: keeper.Monitor(o.Store, health), health: health, directory: o.Directory, instance: o.Instance, processors: o.Processors, build: o.Build,
		logger: o.Logger, meter: o.Meter, keys: o.Keys, clock: o.Clock,
	}
	if s.clock == nil {
		s.clock = timekeeper.WallClock{}
	}
	s.membership = coordinator.NewMembership(s.store, o.Instance, o.Address, o.Processors)
	s.configurations = follower.New(o.Directory, follower.WithLogger(o.Logger), follower.WithMeter(o.Meter), s.followerOption())
	return s
}

// newerConfiguration is a follower.Peer that asks the owner of a shard; the instances are spread over the shards. Owners read
// the store themselves.
func (s *Sharder) newerConfiguration(ctx context.Context, known int64, wait time.Duration) (follower.Answer, error) {
	shards := s.coordinators()
	if len(shards) == 0 || s.IsOwner() {
		return follower.Answer{}, follower.ErrNoPeer
	}
	return shards[hashOf(s.instance)%len(shards)].NewerConfiguration(ctx, known, wait)
}

// Start follows the configuration, determines the layout and then joins all shards, in the background.
func (s *Sharder) Start() {
	s.tomb.Go(func() error {
		s.configurations.Run(s.tomb.Context(context.Background()))
		return nil
	})
	s.tomb.Go(func() error {
		s.membership.Run(s.tomb.Context(context.Background()))
		return nil
	})
	s.tomb.Go(func() error {
		ctx := s.tomb.Context(context.Background())
		known, err := s.awaitLayout(ctx)
		if err != nil {
			return nil
		}
		s.membership.Await(ctx, maxMembershipWait)
		return s.join(known)
	})
}

// join starts the coordinators of all shards.
func (s *Sharder) join(known layout) error {
	var shards []*coordinator.Coordinator
	for i := range known.Shards {
		shard := Shard{Index: i, Count: known.Shards}
		built, err := s.build(shard, s.optionsOf(shard)...)
		if err != nil {
			s.logger.Error("shard cannot be joined; the instance stays not ready", "Shard", i, "Error", err.Error())
			return err
		}
		shards = append(shards, built)
	}
	s.layout = known
	s.shards.Store(&shards)
	for _, shard := range shards {
		shard.Start()
		if s.draining.Load() {
			shard.Drain()
		}
	}
	attributes := []any{"Shards", known.Shards}
	if len(known.Teams) > 0 {
		attributes = append(attributes, "Teams", known.Teams)
	}
	s.logger.Info("shards joined", attributes...)
	return nil
}

func (s *Sharder) optionsOf(shard Shard) []coordinator.Option {
	options := []coordinator.Option{
		coordinator.WithStore(shardStore{TransactionalStore: s.store, prefix: shard.Prefix()}),
		coordinator.WithDirectory(s.directory), coordinator.WithConfigurations(s.configurations),
		coordinator.WithHealth(s.health), coordinator.WithMembership(s.membership),
		coordinator.WithIntake(intaker.WithOtherShards(intaker.OtherShards{KeysOf: shard.keysElsewhere, Always: s.keys.Required})),
	}
	if shard.Count == 1 {
		return options
	}
	return append(options, coordinator.WithShards(coordinator.Shards{
		Index: shard.Index, Count: shard.Count, Store: s.store,
		OwnerKey: func(index int) string { return shard.withIndex(index).ownerKey() },
		HomeOf:   func(server specifier.Server) int { return homeOf(server, shard.Count) },
		Peer:     s.coordinatorAt,
	}), coordinator.WithAdvisors(shard.HasAdvisor),
		coordinator.WithHandOverCheck(func(similar int) bool { return s.shouldHandOver(shard, similar) }),
		coordinator.WithElectionDelay(func() time.Duration { return s.electionDelay(shard) }))
}

// electionDelay returns how long this instance waits in an election of a shard, so that the ownership of the shards is
// spread over the instances.
func (s *Sharder) electionDelay(shard Shard) time.Duration {
	preference := hashOf(s.instance+shard.Prefix()) % int(preferenceDelay/time.Millisecond)
	delay := time.Duration(preference) * time.Millisecond
	for _, other := range s.coordinators() {
		if other.IsOwner() {
			delay += delayPerOwnedShard
		}
	}
	return delay
}

// shouldHandOver reports whether another instance should take over a shard, because this one also owns a shard with a
// lower index, and there are at least as many members of similar or larger size as shards.
func (s *Sharder) shouldHandOver(shard Shard, similar int) bool {
	if similar < shard.Count {
		return false
	}
	for _, other := range s.coordinators()[:shard.Index] {
		if other.IsOwner() {
			return true
		}
	}
	return false
}

// coordinators returns the coordinators of all shards, or none before the layout is known.
func (s *Sharder) coordinators() []*coordinator.Coordinator {
	if shards := s.shards.Load(); shards != nil {
		return *shards
	}
	return nil
}

// coordinatorAt returns the coordinator of a shard, or nil before the layout is known.
func (s *Sharder) coordinatorAt(index int) *coordinator.Coordinator {
	if shards := s.coordinators(); len(shards) > 0 {
		return shards[index]
	}
	return nil
}

func errLayoutUnknown() error {
	return classifier.New(classifier.NotReady, "the layout of the cell has not been read yet")
}

// Ready reports whether callers should be sent to this instance.
func (s *Sharder) Ready() bool {
	shards := s.coordinators()
	for _, shard := range shards {
		if !shard.Ready() {
			return false
		}
	}
	return len(shards) > 0 && !s.draining.Load()
}

// IsOwner reports whether this instance owns a shard.
func (s *Sharder) IsOwner() bool {
	return slices.ContainsFunc(s.coordinators(), (*coordinator.Coordinator).IsOwner)
}

// Drain gives up the ownership of all shards for good and makes the instance not ready; requests are still served
// until Stop.
func (s *Sharder) Drain() {
	s.draining.Store(true)
	for _, shard := range s.coordinators() {
		shard.Drain()
	}
}

// Stop ends all coordinators.
func (s *Sharder) Stop() error {
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	for _, shard := range s.coordinators() {
		if stopErr := shard.Stop(); err == nil {
			err = stopErr
		}
	}
	return err
}
