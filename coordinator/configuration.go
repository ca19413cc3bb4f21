package coordinator

import (
	"context"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/follower"
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
