package coordinator

import (
	"context"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// followConfiguration polls the configuration until the context ends. An older configuration never replaces a newer
// one.
func (c *Coordinator) followConfiguration(ctx context.Context) error {
	failed := false
	for ctx.Err() == nil {
		configuration, found, err := c.settings.directory.Configuration(ctx)
		c.intaker.RecordStoreCall(err == nil)
		switch {
		case err != nil && !failed:
			c.settings.logger.Warn("configuration cannot be read", "Error", err.Error())
		case err == nil && found:
			c.configure(configuration)
		}
		failed = err != nil
		wait := configurationInterval
		if c.configuration.Load() == nil {
			wait = retryInterval
		}
		timekeeper.Sleep(ctx, wait)
	}
	return nil
}

func (c *Coordinator) configure(configuration specifier.Configuration) {
	old := c.configuration.Load()
	if old != nil && old.Revision >= configuration.Revision {
		return
	}
	c.configuration.Store(&configuration)
	c.settings.logger.Info("configuration in force", "Version", configuration.Version, "Revision", configuration.Revision,
		"Queues", len(configuration.Queues))
	if o := c.owner.Load(); o != nil {
		o.post(conductor.Configured{Configuration: configuration})
	}
}
