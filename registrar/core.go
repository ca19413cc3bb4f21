package registrar

import (
	"context"
	"time"

	"egretring.example/egretring/assigner"
)

// tickInterval is the time between two ticks of the state machine. It bounds how long shares stay published after the
// right to start work has expired.
const tickInterval = 250 * time.Millisecond

// runAssigner passes events to the state machine and carries out its commands.
func (r *Registrar) runAssigner(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-r.events.Items():
			r.handle(ctx, event)
		case <-ticker.C:
			r.handle(ctx, r.countBusy())
		case <-ctx.Done():
			return nil
		}
	}
}

// countBusy returns the occupied slots. Without a hook, no slots are occupied and the newest shares count as applied.
func (r *Registrar) countBusy() assigner.Event {
	if r.hooks.busy != nil {
		return r.hooks.busy()
	}
	return assigner.BusyChanged{Shares: r.Shares().Version}
}

func (r *Registrar) handle(ctx context.Context, event assigner.Event) {
	r.mu.Lock()
	commands := r.assigner.Handle(time.Now(), event)
	right := r.assigner.Right()
	r.mu.Unlock()
	r.right.Store(&right)
	for _, command := range commands {
		r.execute(ctx, command)
	}
}

func (r *Registrar) execute(ctx context.Context, command assigner.Command) {
	switch command := command.(type) {
	case assigner.WriteAssignment:
		// The state machine has at most one write in progress and one that it has abandoned, so that this does not
		// block for long.
		_ = r.writes.Put(ctx, command)
	case assigner.AdoptEpoch:
		r.hooks.logger.Info("follow a new assignment epoch", "Epoch", command.Record.Epoch,
			"Members", len(command.Record.Members))
		wake(r.heartbeatNow)
	case assigner.ReleaseSlots:
		wake(r.heartbeatNow)
	case assigner.QuarantineServers:
		r.mu.Lock()
		r.quarantined = command.Servers
		r.mu.Unlock()
	case assigner.ChangeShares:
		r.changeShares(command)
	case assigner.Rejoin:
		r.hooks.logger.Warn("removed from the assignment; register as a new incarnation",
			"Incarnation", command.Incarnation)
		wake(r.renewNow)
	case assigner.Depart:
		r.tomb.Go(func() error { return r.depart(ctx) })
	}
}

func (r *Registrar) changeShares(command assigner.ChangeShares) {
	r.capacity.mu.Lock()
	defer r.capacity.mu.Unlock()
	r.mu.Lock()
	r.capacity.granted, r.capacity.adopted = command, r.assigner.Adopted()
	owner := r.assigner.Self().Owner
	r.mu.Unlock()
	r.capacity.owner = owner
	r.publishShares()
}
