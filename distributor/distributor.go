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
	tomb        tomb.Tomb
	options     *options
	ticketLog   *ticketLog
	follower    *follower
	peerFetcher *peerFetcher
	accepter    *accepter
	compacter   *compacter
}

// Status describes the configuration state of this instance, the store and the tickets that wait to be accepted.
type Status struct {
	// Ready is false until tickets have been read from the store or a peer.
	Ready bool
	// Applied is the number of the last applied ticket.
	Applied int64
	Store   StoreStatus
	Waiting []WaitingTicket
}

// New returns a distributor. It runs no goroutine until Start is called.
func New(store keeper.Store, list ...Option) *Distributor {
	o := newOptions(list)
	tickets := &ticketLog{store: newMonitor(store), holder: newHolder(o.retention)}
	follow := &follower{
		ticketLog: tickets, backoff: backoff{random: o.random(1)}, log: o.log, failed: make(chan struct{}),
	}
	return &Distributor{
		options:   o,
		ticketLog: tickets,
		follower:  follow,
		peerFetcher: &peerFetcher{
			ticketLog: tickets, peers: o.peers, log: o.log, storeFailed: follow.failed, wake: make(chan struct{}, 1),
		},
		accepter: &accepter{
			ticketLog: tickets, backoff: backoff{random: o.random(2)}, queue: buffer.NewQueue[*pending](waitingCapacity),
			log: o.log, stopped: make(chan struct{}),
		},
		compacter: &compacter{
			ticketLog: tickets, nonce: o.nonce, random: o.random(3), backoff: backoff{random: o.random(4)}, log: o.log,
			interval: deletionInterval,
		},
	}
}

// Start starts four goroutines: one watches the tickets in the store, one fetches tickets from peers, one writes new
// tickets to the store and one compacts old tickets into snapshots.
func (d *Distributor) Start() {
	ctx := d.tomb.Context(context.Background())
	for _, run := range []func(context.Context) error{
		d.follower.run, d.peerFetcher.run, d.accepter.run, d.compacter.run,
	} {
		d.tomb.Go(func() error { return run(ctx) })
	}
}

// Stop stops the goroutines and waits until they have returned.
func (d *Distributor) Stop() error {
	d.tomb.Kill(nil)
	return d.tomb.Wait()
}

// State returns the state in force. It returns an error of kind NotReady until tickets have been read from the store
// or a peer.
func (d *Distributor) State() (ticketer.State, error) {
	current, ready := d.ticketLog.holder.current()
	if !ready {
		return ticketer.State{}, notReady()
	}
	return current.state, nil
}

// Subscribe returns a subscription to the state in force.
func (d *Distributor) Subscribe() *Subscription {
	return d.ticketLog.holder.subscribe()
}

// Accept writes a ticket to the store and returns its number. While the store is unreachable it retries until the
// context ends and then returns an error; the outcome is unknown in this case, because a write whose response was lost
// may still take effect.
func (d *Distributor) Accept(ctx context.Context, ticket ticketer.Ticket) (int64, error) {
	if _, ready := d.ticketLog.holder.current(); !ready {
		return 0, notReady()
	}
	return d.accepter.submit(ctx, d.accepter.newProposal(ticket, d.options))
}

// Check returns nil if a ticket would be accepted against the state in force in this instance, or else an error with
// the reason.
func (d *Distributor) Check(ticket ticketer.Ticket) error {
	current, ready := d.ticketLog.holder.current()
	if !ready {
		return notReady()
	}
	if receipt, ok := current.state.Receipt(ticket.ID); ok {
		_, err := receiptResult(receipt, ticket)
		return err
	}
	return check(current, ticket)
}

// Tickets returns the tickets after a number that this instance has applied, with a snapshot if some of them are no
// longer kept. It implements PeerSource.
func (d *Distributor) Tickets(_ context.Context, after int64) (Batch, error) {
	current, ready := d.ticketLog.holder.current()
	if !ready {
		return Batch{}, notReady()
	}
	return current.batchAfter(after)
}

// Recent returns the tickets that this instance still keeps in memory, oldest first.
func (d *Distributor) Recent() []ticketer.AcceptedTicket {
	current, _ := d.ticketLog.holder.current()
	return current.tickets
}

// RecordReportedTicket records the number of the last applied ticket that the heartbeat of a peer reported. If this
// instance does not receive the tickets up to it in time, they are fetched from the peers or read from the store.
func (d *Distributor) RecordReportedTicket(number int64) {
	d.peerFetcher.recordReported(number)
}

// Status returns the current status.
func (d *Distributor) Status() Status {
	current, ready := d.ticketLog.holder.current()
	return Status{
		Ready:   ready,
		Applied: current.state.Applied(),
		Store:   d.ticketLog.store.current(),
		Waiting: d.accepter.list(),
	}
}

func notReady() error {
	return classifier.New(classifier.NotReady, "no tickets were read yet from the store or a peer").
		WithRetryAt(time.Now().Add(time.Second))
}
