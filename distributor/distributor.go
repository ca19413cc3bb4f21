package distributor

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/ticketer"
)

// Distributor accepts tickets and holds the configuration state in force in one entry instance.
type Distributor struct {
	tomb      tomb.Tomb
	options   *options
	session   *session
	follower  *follower
	learner   *learner
	accepter  *accepter
	compacter *compacter
}

// Status says what the distributor does.
type Status struct {
	// Ready is false until tickets were read from the store or a peer.
	Ready   bool
	Applied int64
	Store   StoreStatus
	Waiting []Waiting
}

// New returns a distributor that does nothing until it is started.
func New(store keeper.Store, list ...Option) *Distributor {
	o := newOptions(list)
	s := &session{store: newMonitor(store), holder: newHolder(o.retention)}
	follow := &follower{
		session: s, backoff: backoff{random: o.random(1)}, log: o.log, failed: make(chan struct{}),
	}
	return &Distributor{
		options:  o,
		session:  s,
		follower: follow,
		learner: &learner{
			session: s, peers: o.peers, log: o.log, storeFailed: follow.failed, wake: make(chan struct{}, 1),
		},
		accepter: &accepter{
			session: s, backoff: backoff{random: o.random(2)}, queue: buffer.NewQueue[*pending](waitingCapacity),
			log: o.log, stopped: make(chan struct{}),
		},
		compacter: &compacter{
			session: s, nonce: o.nonce, random: o.random(3), backoff: backoff{random: o.random(4)}, log: o.log,
			interval: deletionInterval,
		},
	}
}

// Start starts the goroutines: one that follows the store, one that learns from peers, one that accepts tickets and
// one that compacts them.
func (d *Distributor) Start() {
	ctx := d.tomb.Context(context.Background())
	for _, run := range []func(context.Context) error{
		d.follower.run, d.learner.run, d.accepter.run, d.compacter.run,
	} {
		d.tomb.Go(func() error { return run(ctx) })
	}
}

// Stop ends the goroutines and waits for them.
func (d *Distributor) Stop() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}

// State returns the state in force. The error has the kind NotReady until tickets were read from the store or a peer.
func (d *Distributor) State() (ticketer.State, error) {
	current, ready := d.session.holder.current()
	if !ready {
		return ticketer.State{}, notReady()
	}
	return current.state, nil
}

// Subscribe returns a subscription to the state in force.
func (d *Distributor) Subscribe() *Subscription {
	return d.session.holder.subscribe()
}

// Accept writes a ticket to the store and returns its number. It waits while the store is unreachable, until the
// context ends; the ticket is then given up, although a write whose answer was lost may still take effect.
func (d *Distributor) Accept(ctx context.Context, ticket ticketer.Ticket) (int64, error) {
	if _, ready := d.session.holder.current(); !ready {
		return 0, notReady()
	}
	return d.accepter.submit(ctx, d.accepter.newProposal(ticket, d.options))
}

// Check reports whether a ticket would be accepted now, as far as this instance knows.
func (d *Distributor) Check(ticket ticketer.Ticket) error {
	current, ready := d.session.holder.current()
	if !ready {
		return notReady()
	}
	if receipt, ok := current.state.Receipt(ticket.ID); ok {
		_, err := receiptResult(receipt, ticket)
		return err
	}
	return check(current, ticket)
}

// Tickets returns what this instance knows after a ticket number; it makes a Distributor the PeerSource of its peers.
func (d *Distributor) Tickets(_ context.Context, after int64) (Batch, error) {
	current, ready := d.session.holder.current()
	if !ready {
		return Batch{}, notReady()
	}
	return current.batchAfter(after)
}

// Recent returns the last tickets that this instance still has, oldest first.
func (d *Distributor) Recent() []ticketer.Numbered {
	current, _ := d.session.holder.current()
	return current.tickets
}

// Heard notes the applied number in the heartbeat of a peer. Missing tickets are fetched.
func (d *Distributor) Heard(number int64) {
	d.learner.hear(number)
}

// Status returns what the distributor does.
func (d *Distributor) Status() Status {
	current, ready := d.session.holder.current()
	return Status{
		Ready:   ready,
		Applied: current.state.Applied(),
		Store:   d.session.store.current(),
		Waiting: d.accepter.list(),
	}
}

func notReady() error {
	return classifier.New(classifier.NotReady, "no tickets were read yet from the store or a peer").
		WithRetryAt(time.Now().Add(time.Second))
}
