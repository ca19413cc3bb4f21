package registrar

import (
	"context"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/messenger"
)

var _ messenger.Handler = (*Registrar)(nil)

// Heartbeat implements messenger.Handler.
func (r *Registrar) Heartbeat(_ context.Context, heartbeat messenger.Heartbeat) (messenger.HeartbeatReply, error) {
	r.receive(heartbeat)
	return messenger.HeartbeatReply{Owner: r.owner()}, nil
}

// Release implements messenger.Handler.
func (r *Registrar) Release(_ context.Context, release messenger.Release) (messenger.ReleaseReply, error) {
	r.receive(release.Heartbeat)
	return messenger.ReleaseReply{Owner: r.owner()}, nil
}

// Tickets implements messenger.Handler.
func (r *Registrar) Tickets(ctx context.Context, request messenger.TicketsRequest) (messenger.TicketsReply, error) {
	return r.hooks.tickets(ctx, request)
}

// receive records a heartbeat and, if it comes from this instance's zone, passes it to the state machine. When the
// event queue is full, the state machine does not get it; the next heartbeat repeats its content.
func (r *Registrar) receive(heartbeat messenger.Heartbeat) {
	r.reports.add(heartbeat)
	if heartbeat.AvailabilityZone != r.self.AvailabilityZone {
		return
	}
	if err := r.events.Offer(assigner.HeartbeatReceived{Heartbeat: heartbeat.Heartbeat}); err != nil {
		r.hooks.logger.Warn("heartbeat dropped", "Peer", heartbeat.Instance, "Error", err.Error())
	}
}

// Report implements messenger.Handler.
func (r *Registrar) Report(ctx context.Context, request messenger.ReportRequest) (messenger.ReportReply, error) {
	return r.hooks.report(ctx, request)
}
