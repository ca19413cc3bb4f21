package demonstrator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/ticketer"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// Apply applies a ticket at one entry instance and waits until it is in force at all of them.
func (c *Cell) Apply(ctx context.Context, ticket ticketer.Ticket) error {
	entries := c.Entries()
	if err := waitFor(ctx, func() bool { return entries[0].Daemon.Configured() }); err != nil {
		return errors.Wrapf(err, "wait for the configuration before applying ticket %s", ticket.ID)
	}
	number, err := entries[0].Daemon.ApplyTicket(ctx, ticket)
	if err != nil {
		return errors.Wrapf(err, "apply ticket %s", ticket.ID)
	}
	err = waitFor(ctx, func() bool { return inForce(entries, number) })
	return errors.Wrapf(err, "wait for ticket %s to be in force", ticket.ID)
}

func waitFor(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func inForce(entries []*Entry, number int64) bool {
	for _, entry := range entries {
		if !entry.Daemon.Ready(number) {
			return false
		}
	}
	return true
}
