package coordinator

import (
	"context"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// followConfiguration polls the configuration until the context ends. An older configuration never replaces a newer
// one.
func (c *Coordinator) followConfiguration(ctx context.Context) error {
	failed := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		configuration, found, err := c.settings.directory.Configuration(ctx)
		c.intaker.RecordStoreCall(err == nil)
		switch {
		case err != nil && !failed:
			c.settings.logger.Warn("configuration cannot be read", "InForce", c.versionInForce(),
				"ReadTime", time.Since(startedAt).String(), "Error", err.Error())
		case err == nil && found:
			c.configure(configuration, startedAt)
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

// versionInForce returns the version of the configuration in force, or zero before there is one.
func (c *Coordinator) versionInForce() int64 {
	if configuration := c.configuration.Load(); configuration != nil {
		return configuration.Version
	}
	return 0
}

func (c *Coordinator) configure(configuration specifier.Configuration, readStartedAt time.Time) {
	readTime := time.Since(readStartedAt)
	previous := c.versionInForce()
	old := c.configuration.Load()
	if old != nil && old.Revision >= configuration.Revision {
		return
	}
	c.configuration.Store(&configuration)
	c.settings.logger.Info("configuration in force", "Version", configuration.Version, "Revision", configuration.Revision,
		"Previous", previous, "Queues", configuration.Queues.Len(), "ReadTime", readTime.String())
	if o := c.owner.Load(); o != nil {
		o.post(conductor.Configured{Configuration: configuration})
	}
}
