package coordinator

import (
	"context"
	"slices"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/timekeeper"
)

// stoppedRequest queries whether a process of an instance has stopped acting as the owner of an earlier epoch.
type stoppedRequest struct {
	Instance    string
	Incarnation int64
	// Epoch is the epoch of the later owner.
	Epoch int64
}

type stoppedReply struct {
	Stopped bool
}

func (c *Coordinator) handleStopped(_ context.Context, request stoppedRequest) (stoppedReply, error) {
	// Another instance may have taken over the address of the earlier owner, whose state is unknown here.
	if request.Instance != c.settings.instance {
		return stoppedReply{}, nil
	}
	return stoppedReply{Stopped: c.elector.ResignBefore(request.Incarnation, request.Epoch)}, nil
}

// awaitPredecessors queries the earlier owners until all have stopped, and then notifies the state machine. An earlier
// owner that does not respond stops by itself within elector.MaxOwnershipWithoutStore.
func (o *owner) awaitPredecessors(ctx context.Context) {
	running := slices.Clone(o.predecessors)
	giveUpAt := o.settings.clock.Now().Add(elector.MaxOwnershipWithoutStore)
	for o.settings.clock.Now().Before(giveUpAt) {
		running = slices.DeleteFunc(running, func(p elector.Owner) bool { return o.hasStopped(ctx, p) })
		if len(running) == 0 {
			break
		}
		timekeeper.Sleep(ctx, stoppedInterval)
		if ctx.Err() != nil {
			return
		}
	}
	o.elector.PredecessorsStopped(ctx, o.ownership)
	o.post(conductor.PredecessorsStopped{})
}

func (o *owner) hasStopped(ctx context.Context, predecessor elector.Owner) bool {
	if predecessor.Instance == o.settings.instance {
		return o.elector.ResignBefore(predecessor.Incarnation, o.ownership.Epoch)
	}
	if predecessor.Address == "" {
		return false
	}
	response, err := messenger.Call[stoppedRequest, stoppedReply](ctx, o.shortCalls, predecessor.Address, methodStopped,
		stoppedRequest{Instance: predecessor.Instance, Incarnation: predecessor.Incarnation, Epoch: o.ownership.Epoch})
	if err != nil {
		o.settings.logger.Info("earlier owner did not report whether it has stopped", "Owner", predecessor.Instance,
			"Error", err.Error())
	}
	return err == nil && response.Stopped
}
