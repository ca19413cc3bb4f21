package runner

import (
	"context"
	"sync"

	"egretring.example/egretring/dispatcher"
)

// commandsPerCall is more than the commands that can wait for one request: an end and an abort.
const commandsPerCall = 8

// call is a request that the core knows and a goroutine serves.
type call struct {
	commands chan dispatcher.Command

	mu             sync.Mutex
	abort          context.CancelFunc
	abortedAttempt int
}

func newCall() *call {
	return &call{commands: make(chan dispatcher.Command, commandsPerCall)}
}

// begin returns the context of an attempt, which is already cancelled if the attempt was aborted.
func (c *call) begin(ctx context.Context, attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = cancel
	if c.abortedAttempt >= attempt {
		cancel()
	}
	return ctx, cancel
}

// abortUntil aborts the attempts up to the given one.
func (c *call) abortUntil(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortedAttempt = attempt
	if c.abort != nil {
		c.abort()
	}
}
