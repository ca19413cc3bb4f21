package server

import (
	"context"
	"log/slog"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/meter"
)

// poller reads the instance list. While the list cannot be read, the last listing stays in use.
type poller struct {
	list     lister.List
	interval time.Duration
	logger   *slog.Logger
	meter    *meter.Meter
	onList   func(lister.Listing)
}

func (p *poller) run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	servers, err := p.list.BackendServers(ctx)
	var instances []describer.Instance
	if err == nil {
		instances, err = p.list.Instances(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.logger.WarnContext(ctx, "instance list cannot be read; the last listing stays in use", "Error", err.Error())
		return
	}
	p.meter.Count(meter.InstanceListReads, 1)
	p.onList(lister.Listing{BackendServers: servers, Instances: instances})
}
