package registrar

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/buffer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/messenger"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// renewInterval is the time between two renewals of the lease, a third of its time to live.
	renewInterval = assigner.LeaseTTL / 3
	// retryInterval is the time between two attempts to get a lease.
	retryInterval = time.Second
	// readInterval is the time between two reads of the zone when no change was reported.
	readInterval = time.Second
	// storeTimeout bounds a store call. The store counts as unreachable at most readInterval plus storeTimeout after an
	// outage begins. A hold agreement is then concluded before the first lease expires, which is 5 s after the
	// beginning of the outage.
	storeTimeout = time.Second
	// watchTimeout bounds a watch, a store call that stays pending until there is a change.
	watchTimeout = 30 * time.Second
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// usageInterval is the time between two reads of the usage of quarantined backend servers.
	usageInterval = time.Second
	// announceTimeout bounds the last release to the peers when an instance could not leave in time.
	announceTimeout = time.Second
	// queuedEvents is the capacity of the queue of events for the state machine.
	queuedEvents = 1024
	// queuedWrites is the capacity of the queue of record writes; all but the last belong to earlier incarnations.
	queuedWrites = 4
)

// Messenger sends heartbeats and releases to peers; *messenger.Client is one.
type Messenger interface {
	Heartbeat(ctx context.Context, address string, heartbeat messenger.Heartbeat) (messenger.HeartbeatReply, error)
	Release(ctx context.Context, address string, release messenger.Release) (messenger.ReleaseReply, error)
}

var _ Messenger = (*messenger.Client)(nil)

// Registrar registers this instance in its zone and takes part in the assignment of the zone's slots.
type Registrar struct {
	self  describer.Instance
	store keeper.Store
	list  lister.List
	peers Messenger
	hooks hooks
	tomb  tomb.Tomb

	events *buffer.Queue[assigner.Event]
	writes *buffer.Queue[assigner.WriteAssignment]
	// Each of these queues wakes a goroutine before its next interval; one pending request is enough.
	readNow      *buffer.Queue[struct{}]
	heartbeatNow *buffer.Queue[struct{}]
	renewNow     *buffer.Queue[struct{}]

	right    atomic.Pointer[assigner.Right]
	departed chan struct{}
	health   health
	reports  reports
	targets  targets
	capacity capacity

	mu          sync.Mutex
	assigner    *assigner.Assigner
	shares      Shares
	quarantined []describer.BackendServerID
	servers     []describer.BackendServer
}

// New starts to register an instance in its zone. The instance must accept connections of peers before New and until
// Leave or Close has returned, because a refused connection is proof to the peers that the process has ended.
func New(
	self describer.Instance, store keeper.Store, list lister.List, peers Messenger, options ...Option,
) *Registrar {
	r := &Registrar{
		self: self, store: store, list: list, peers: peers, hooks: newHooks(options),
		events:       buffer.NewQueue[assigner.Event](queuedEvents),
		writes:       buffer.NewQueue[assigner.WriteAssignment](queuedWrites),
		readNow:      buffer.NewQueue[struct{}](1),
		heartbeatNow: buffer.NewQueue[struct{}](1),
		renewNow:     buffer.NewQueue[struct{}](1),
		departed:     make(chan struct{}),
	}
	r.assigner = assigner.New(assigner.Member{
		Owner:   assigner.Owner{Instance: self.ID, Incarnation: self.Incarnation},
		Address: self.PeerAddress,
	}, rand.Text)
	r.right.Store(&assigner.Right{})
	r.capacity.set(r.hooks.slots, r.hooks.connections)
	for _, run := range []func(context.Context) error{
		r.runAssigner, r.runLease, r.runWatch, r.runReader, r.runWriter, r.runHeartbeats, r.runList, r.runUsage,
	} {
		r.tomb.Go(func() error { return run(r.tomb.Context(context.Background())) })
	}
	return r
}

// Close stops without giving up the positions. Peers then take them over as those of a failed instance.
func (r *Registrar) Close() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.right.Store(&assigner.Right{})
	return err
}

// Leave gives up the positions and waits until all work has ended and the peers have been notified. When the context
// ends first, for example during an outage of the store, the peers are notified of the slots released so far.
func (r *Registrar) Leave(ctx context.Context) error {
	if err := r.events.Put(ctx, assigner.LeaveRequested{}); err != nil {
		return err
	}
	select {
	case <-r.departed:
		return nil
	case <-r.tomb.Dying():
		return tomb.ErrDying
	case <-ctx.Done():
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	r.announce(last)
	return ctx.Err()
}

// MayStart reports whether this instance may start work now. It must be checked at each start.
func (r *Registrar) MayStart() bool {
	return r.right.Load().Allows(time.Now())
}

// Right returns the current right to start work, for work that carries a deadline of its own.
func (r *Registrar) Right() assigner.Right {
	return *r.right.Load()
}

// Shares returns the current shares.
func (r *Registrar) Shares() Shares {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares
}

// Assignment returns the assignment record that this instance follows.
func (r *Registrar) Assignment() assigner.Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assigner.Adopted()
}

// Ownership returns the ownership part of the heartbeat of this instance.
func (r *Registrar) Ownership() assigner.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assigner.Heartbeat()
}

// HasHoldAgreement reports whether this instance relies on a concluded hold agreement.
func (r *Registrar) HasHoldAgreement() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assigner.Held()
}

// Owner returns this instance with its current incarnation.
func (r *Registrar) Owner() assigner.Owner {
	return r.owner()
}

// DeclareDead notifies the state machine that an operator declared an instance dead up to an incarnation.
func (r *Registrar) DeclareDead(ctx context.Context, owner assigner.Owner) error {
	return r.events.Put(ctx, assigner.DeclaredDead{Owner: owner})
}

// post passes an event to the state machine. It blocks while the queue is full, until the registrar stops.
func (r *Registrar) post(ctx context.Context, event assigner.Event) {
	if err := r.events.Put(ctx, event); err != nil && r.tomb.Alive() {
		r.hooks.logger.Warn("event for the slot ownership state machine was dropped", "Error", err.Error())
	}
}

// wake requests the goroutine that reads the queue to act, unless such a request is already pending.
func wake(queue *buffer.Queue[struct{}]) {
	_ = queue.Offer(struct{}{})
}
