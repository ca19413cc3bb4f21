package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/rater"
)

// followConfiguration uses each newer configuration of the follower until the context ends.
func (c *Coordinator) followConfiguration(ctx context.Context) error {
	var seen uint64
	for {
		update, sequence, err := c.settings.configurations.Await(ctx, seen)
		if err != nil {
			return nil
		}
		seen = sequence
		c.intaker.RecordStoreCall(update.Served)
		if update.Configuration != nil {
			c.configure(update)
		}
	}
}

// maxConfigurationTime bounds a call for a newer configuration.
const maxConfigurationTime = time.Second

// newerRequest requests the newest configuration of the owner if its revision is higher than the known one.
type newerRequest struct {
	Known int64
	// Wait is how long the owner waits for a newer one.
	Wait time.Duration
}

type newerReply struct {
	// Knows is false if the instance cannot tell the newest configuration.
	Knows bool
	// Data is encoded with follower.Encode; it is empty if there is no newer configuration.
	Data []byte `json:",omitempty"`
	// Revision, Proven and Age are those of the follower's answer where keys are strict.
	Revision int64         `json:",omitempty"`
	Proven   bool          `json:",omitempty"`
	Age      time.Duration `json:",omitempty"`
	// Statements are those about the refusals of teams of the owner's shard.
	Statements []rater.Stated `json:",omitempty"`
}

// handleNewer responds only as the owner, so that instances do not wait for each other in a circle. A former owner with a proof
// responds with it at once: instances that the store refuses do not learn of its successor, and the age shows what the proof is
// worth.
func (c *Coordinator) handleNewer(ctx context.Context, request newerRequest) (newerReply, error) {
	o := c.owner.Load()
	if o == nil {
		if !c.settings.configurations.IsStrict() {
			return newerReply{}, nil
		}
		request.Wait = 0
	}
	answer, err := c.settings.configurations.Answer(ctx, request.Known, request.Wait)
	if errors.Is(err, follower.ErrNoPeer) {
		return newerReply{}, nil
	}
	reply := newerReply{Knows: true, Data: answer.Data, Revision: answer.Revision, Proven: answer.Proven, Age: answer.Age}
	if o != nil {
		reply.Statements = c.statements.told(c.settings.clock.Now())
	}
	return reply, err
}

// NewerConfiguration is a follower.Peer that asks the owner.
func (c *Coordinator) NewerConfiguration(ctx context.Context, known int64, wait time.Duration) (follower.Answer, error) {
	current := c.elector.Current()
	if current.Epoch == 0 || current.Owner.Instance == c.settings.instance {
		return follower.Answer{}, follower.ErrNoPeer
	}
	sentAt := c.settings.clock.Now()
	response, err := messenger.Call[newerRequest, newerReply](
		ctx, c.configurationCalls, current.Owner.Address, methodNewer, newerRequest{Known: known, Wait: wait},
	)
	if err == nil && !response.Knows {
		err = follower.ErrNoPeer
	}
	if err == nil {
		c.statements.learn(sentAt, response.Statements)
	}
	return follower.Answer{Data: response.Data, Revision: response.Revision, Proven: response.Proven, Age: response.Age}, err
}

func (c *Coordinator) configure(update follower.Update) {
	configuration := update.Configuration
	old := c.configuration.Load()
	if old != nil && old.Revision >= configuration.Revision {
		return
	}
	c.configuration.Store(configuration)
	c.settings.logger.Info("configuration in force", "Version", configuration.Version, "Revision", configuration.Revision,
		"Queues", configuration.Queues.Len(), "SinceNoticed", time.Since(update.NoticedAt).String())
	if o := c.owner.Load(); o != nil {
		o.post(conductor.Configured{Configuration: *configuration})
	}
}
