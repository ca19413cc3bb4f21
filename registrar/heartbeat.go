package registrar

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/messenger"
)

// runHeartbeats sends a heartbeat to each peer every HeartbeatInterval and whenever it is requested, for example after
// a release of slots. A peer that has not responded to its last heartbeat yet is skipped.
func (r *Registrar) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	var inFlight sync.Map
	for {
		select {
		case <-ticker.C:
		case <-r.heartbeatNow.Items():
		case <-ctx.Done():
			return nil
		}
		heartbeat := r.heartbeat()
		for _, peer := range r.peersToCall() {
			if _, pending := inFlight.LoadOrStore(peer.address, true); pending {
				continue
			}
			r.tomb.Go(func() error {
				defer inFlight.Delete(peer.address)
				r.sendHeartbeat(ctx, peer, heartbeat)
				return nil
			})
		}
		r.hooks.peers(r.PeerLoads())
	}
}

// heartbeat returns a heartbeat with the current state of this instance.
func (r *Registrar) heartbeat() messenger.Heartbeat {
	r.mu.Lock()
	ownership := r.assigner.Heartbeat()
	r.mu.Unlock()
	load := r.hooks.load()
	return messenger.Heartbeat{
		Heartbeat:        ownership,
		AvailabilityZone: r.self.AvailabilityZone,
		AppliedTicket:    r.hooks.appliedTicket(),
		FreeSlots:        load.FreeSlots,
		Queued:           load.Queued,
		LeavingServers:   r.hooks.leavingServers(),
		SentAt:           time.Now().UTC(),
	}
}

// sendHeartbeat sends one heartbeat to a peer. It notifies the state machine when the response proves that the member's
// process has ended, or when there is no response.
func (r *Registrar) sendHeartbeat(ctx context.Context, peer target, heartbeat messenger.Heartbeat) {
	reply, err := r.peers.Heartbeat(ctx, peer.address, heartbeat)
	if err != nil {
		r.selectNextInstance(peer.zone)
	}
	if peer.owner == (assigner.Owner{}) || ctx.Err() != nil {
		return
	}
	replaced := reply.Owner.Instance == peer.owner.Instance && reply.Owner.Incarnation > peer.owner.Incarnation
	switch {
	case err == nil && replaced, messenger.IsErrRefused(err):
		r.post(ctx, assigner.PeerRefused{Owner: peer.owner})
	case messenger.IsErrNoResponse(err):
		r.post(ctx, assigner.PeerUnresponsive{Owner: peer.owner})
	}
}

// depart notifies the peers that all slots are released, and has the lease revoked.
func (r *Registrar) depart(ctx context.Context) error {
	r.announce(ctx)
	close(r.departed)
	return nil
}

// announce sends a release to the peers of this instance's zone.
func (r *Registrar) announce(ctx context.Context) {
	var calls sync.WaitGroup
	release := messenger.Release{Heartbeat: r.heartbeat()}
	for _, peer := range r.peersToCall() {
		if peer.zone != r.self.AvailabilityZone {
			continue
		}
		calls.Go(func() {
			if _, err := r.peers.Release(ctx, peer.address, release); err != nil {
				r.hooks.logger.Info("release not delivered", "Peer", peer.instance, "Error", err.Error())
			}
		})
	}
	calls.Wait()
}
