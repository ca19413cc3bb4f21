package server

import (
	"context"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/ticketer"
)

// declareDead passes the declarations of operators on to the slot ownership, which keeps the newest of each instance.
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

// isDeclaredDead reports whether operators declared this process dead. Peers may then have taken over its slots, so
// that it must start no more work, also under a hold agreement.
func (m *membership) isDeclaredDead(owner assigner.Owner) bool {
	state, err := m.daemon.distributor.State()
	return err == nil && state.IsDeclaredDead(owner.Instance, owner.Incarnation)
}
