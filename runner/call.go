package runner

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/dispatcher"
)

// commandsPerCall is the capacity of the command queue of one request. It is more than the commands that can wait there
// at a time; an abort and a refusal do not use the queue.
const commandsPerCall = 8

// call is the state of a request that is registered with the runner and served by a goroutine.
type call struct {
	commands chan dispatcher.Command
	// refusal has room for the one refusal of a request, so that it is never dropped.
	refusal chan dispatcher.FailRequest

	mu             sync.Mutex
	abort          context.CancelFunc
	abortedAttempt int
	abortedRelay   bool
}

func newCall() *call {
	return &call{
		commands: make(chan dispatcher.Command, commandsPerCall),
		refusal:  make(chan dispatcher.FailRequest, 1),
	}
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

// applyAbort aborts the attempt or the relay that a command names. One that has not begun yet is aborted as soon as it
// begins.
func (c *call) applyAbort(command dispatcher.AbortAttempt) {
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
