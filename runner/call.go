package runner

import (
	"context"
	"sync"
	"time"

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
	abortedRelay   bool
}

func newCall() *call {
	return &call{commands: make(chan dispatcher.Command, commandsPerCall)}
}

// beginAttempt returns the context of an attempt, which is already cancelled if the attempt was aborted.
func (c *call) beginAttempt(ctx context.Context, attempt int, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = cancel
	if c.abortedAttempt >= attempt {
		cancel()
	}
	return ctx, cancel
}

// beginRelay returns the context of a relay, which is already cancelled if the relay was aborted.
func (c *call) beginRelay(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = cancel
	if c.abortedRelay {
		cancel()
	}
	return ctx, cancel
}

// end aborts the attempt or the relay that a command names, also when it has not begun yet.
func (c *call) end(command dispatcher.AbortAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if command.Relay {
		c.abortedRelay = true
	} else {
		c.abortedAttempt = command.Attempt
	}
	if c.abort != nil {
		c.abort()
	}
}
