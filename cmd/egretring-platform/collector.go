package main

import (
	"context"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	// garbagePercent is the target of the garbage collector (GOGC): a higher one needs more memory and less processor time.
	// The instances have little of both. In an owner the collector takes a tenth of the processor time at 100%, and a twentieth at
	// 250%.
	garbagePercent      = 100
	ownerGarbagePercent = 200
	// collectorInterval is the time between two checks whether the instance is an owner.
	collectorInterval = time.Second
)

// collector adapts the garbage collector to the duty of the instance.
type collector struct {
	isOwner    func() bool
	setPercent func(percent int) int
}

// run adapts the target of the garbage collector until the context ends.
func (c collector) run(ctx context.Context) {
	current := 0
	for ctx.Err() == nil {
		wanted := garbagePercent
		if c.isOwner() {
			wanted = ownerGarbagePercent
		}
		if wanted != current {
			c.setPercent(wanted)
			current = wanted
		}
		timekeeper.Sleep(ctx, collectorInterval)
	}
}
