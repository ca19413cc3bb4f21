package coordinator

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/elector"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// Coordinator runs one instance.
type Coordinator struct {
	settings settings
	tomb     tomb.Tomb
	elector  *elector.Elector
	intaker  *intaker.Intaker
	listener *messenger.Listener
	// shortCalls and longCalls call other instances over separate connections: a call that times out ends its
	// connection, and a late advice call must not end the connection of the short calls.
	shortCalls *messenger.Client
	longCalls  *messenger.Client
	// configurationCalls have connections of their own, because a large configuration delays what follows it.
	configurationCalls *messenger.Client
	// ownMembership is false when the coordinator shares its membership with others.
	ownMembership bool
	// ownFollower is nil when the coordinator shares a follower with others.
	ownFollower *follower.Follower

	configuration atomic.Pointer[specifier.Configuration]
	owner         atomic.Pointer[owner]
	statements    knownStatements
	draining      atomic.Bool
}

// New returns a coordinator that is not started. It already responds to the calls of other instances on the
// listener.
func New(accept net.Listener, options ...Option) (*Coordinator, error) {
	s := settings{clock: timekeeper.WallClock{}, logger: slog.Default(), meter: meter.New()}
	for _, option := range options {
		option(&s)
	}
	if s.store == nil || s.servers == nil || s.directory == nil || s.advice == nil || s.instance == "" {
		return nil, errors.New("a coordinator needs a store, backend servers, a directory, an advice service and a name")
	}
	if s.health == nil {
		s.health = keeper.NewHealth(s.logger)
	}
	ownMembership := s.membership == nil
	if ownMembership {
		s.membership = NewMembership(s.store, s.instance, s.address, s.processors)
	}
	spread := func() time.Duration { return s.membership.spread(s.shardCount()) }
	c := &Coordinator{
		settings: s, ownMembership: ownMembership,
		intaker:    intaker.New(s.store, s.logger, append(s.intake, intaker.WithHealth(s.health))...),
		shortCalls: s.client(shortCallTimeout),
		longCalls:  s.client(maxAdviceTime),

		configurationCalls: s.client(maxConfigurationTime),
	}
	self := elector.Owner{Instance: s.instance, Incarnation: s.clock.Now().UnixNano(), Address: s.address}
	c.elector = elector.New(s.store, self, c.runOwner, s.clock, s.logger, elector.WithDelay(c.electionDelay),
		elector.WithWatchTime(func() time.Duration { return s.membership.watchTime(s.shardName()) }),
		elector.WithStandby(func() time.Duration { return s.membership.standby(s.shardName(), s.shardCount()) }),
		elector.WithSpread(spread))
	if s.configurations == nil {
		c.ownFollower = follower.New(s.directory, follower.WithLogger(s.logger), follower.WithMeter(s.meter))
		c.settings.configurations = c.ownFollower
	}
	c.listener = messenger.ServeMethods(accept, c.methods(), messenger.WithLogger(s.logger),
		messenger.WithConnections(maxPeerConnections))
	return c, nil
}

// shardName returns a name of the shard.
func (s settings) shardName() string {
	if s.shards == nil {
		return ""
	}
	return strconv.Itoa(s.shards.Index)
}

func (s settings) shardCount() int {
	if s.shards == nil {
		return 1
	}
	return s.shards.Count
}

// client returns a pool of connections to other instances.
func (s settings) client(timeout time.Duration) *messenger.Client {
	options := []messenger.Option{messenger.WithLogger(s.logger), messenger.WithCallTimeout(timeout)}
	if s.dial != nil {
		options = append(options, messenger.WithDial(s.dial))
	}
	return messenger.NewClient(options...)
}

// Start begins to follow the configuration, registers this instance as a member, and takes part in elections.
func (c *Coordinator) Start() {
	ctx := c.tomb.Context(context.Background())
	if c.ownFollower != nil {
		c.tomb.Go(func() error {
			c.ownFollower.Run(ctx)
			return nil
		})
	}
	c.tomb.Go(func() error { return c.followConfiguration(ctx) })
	if c.ownMembership {
		c.tomb.Go(func() error {
			c.settings.membership.Run(ctx)
			return nil
		})
	}
	c.tomb.Go(func() error {
		c.elector.Run(ctx)
		return nil
	})
}

// Drain gives up the ownership for good and makes the instance not ready; requests are still served until Stop.
func (c *Coordinator) Drain() {
	c.draining.Store(true)
	c.elector.Retire()
}

// Stop ends the coordinator and closes its connections.
func (c *Coordinator) Stop() error {
	c.tomb.Kill(nil)
	err := c.tomb.Wait()
	if closeErr := c.listener.Close(); err == nil {
		err = closeErr
	}
	if closeErr := c.intaker.Close(); err == nil {
		err = closeErr
	}
	if closeErr := c.shortCalls.Close(); err == nil {
		err = closeErr
	}
	if closeErr := c.longCalls.Close(); err == nil {
		err = closeErr
	}
	if closeErr := c.configurationCalls.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Ready reports whether callers should be sent to this instance.
func (c *Coordinator) Ready() bool {
	return c.configuration.Load() != nil && !c.draining.Load() && c.intaker.Reachable()
}

// IsOwner reports whether this instance is the owner.
func (c *Coordinator) IsOwner() bool {
	return c.elector.IsOwner()
}
