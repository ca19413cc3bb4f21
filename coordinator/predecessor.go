package coordinator

import (
	"context"
	"slices"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/timekeeper"
)

// stoppedRequest asks an instance whether a process of it still carries out the duty of an earlier owner.
type stoppedRequest struct {
	Instance    string
	Incarnation int64
	// Epoch is that of the later owner.
	Epoch int64
}

type stoppedReply struct {
	Stopped bool
}

func (c *Coordinator) answerStopped(_ context.Context, request stoppedRequest) (stoppedReply, error) {
	// Another instance may have taken over the address; it knows nothing of the earlier one.
	if request.Instance != c.settings.instance {
		return stoppedReply{}, nil
	}
	return stoppedReply{Stopped: c.elector.Stopped(request.Incarnation, request.Epoch)}, nil
}

// awaitPredecessors asks the earlier owners until all have stopped, and tells the core. One that does not answer stops by
// itself after a time.
func (o *owner) awaitPredecessors(ctx context.Context) {
	waiting := slices.Clone(o.predecessors)
	giveUpAt := o.settings.clock.Now().Add(elector.LongestDutyWithoutStore)
	for o.settings.clock.Now().Before(giveUpAt) {
		waiting = slices.DeleteFunc(waiting, func(p elector.Owner) bool { return o.hasStopped(ctx, p) })
		if len(waiting) == 0 {
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
		return o.elector.Stopped(predecessor.Incarnation, o.ownership.Epoch)
	}
	if predecessor.Address == "" {
		return false
	}
	reply, err := messenger.Call[stoppedRequest, stoppedReply](ctx, o.questions, predecessor.Address, methodStopped,
		stoppedRequest{Instance: predecessor.Instance, Incarnation: predecessor.Incarnation, Epoch: o.ownership.Epoch})
	if err != nil {
		o.settings.logger.Info("earlier owner does not say whether it has stopped", "Owner", predecessor.Instance,
			"Error", err.Error())
	}
	return err == nil && reply.Stopped
}
