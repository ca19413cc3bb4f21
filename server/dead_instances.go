package server

import (
	"context"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/ticketer"
)

// declareDead passes the operators' declarations of dead instances to the registrar, which keeps the newest one of each
// instance. Declarations of this instance itself are skipped.
func (d *Daemon) declareDead(ctx context.Context, state ticketer.State) {
	member := d.membership.registrar.Load()
	for _, dead := range state.DeadInstances() {
		if dead.Instance == d.self.ID {
			continue
		}
		owner := assigner.Owner{Instance: dead.Instance, Incarnation: dead.Incarnation}
		if err := member.DeclareDead(ctx, owner); err != nil {
			d.logger.Warn("declared-dead instance not passed on", "DeadInstance", dead.Instance, "Error", err.Error())
		}
	}
}

// isDeclaredDead reports whether an operator declared an incarnation of an instance dead. Peers may then have taken over
// its slots, so it must start no more work, not even under a hold agreement, by which the members of a zone otherwise
// continue during an outage of the store.
func (m *membership) isDeclaredDead(owner assigner.Owner) bool {
	state, err := m.daemon.distributor.State()
	return err == nil && state.IsDeclaredDead(owner.Instance, owner.Incarnation)
}
