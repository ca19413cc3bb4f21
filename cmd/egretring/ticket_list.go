package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
)

// defaultTicketLimit is the default maximum number of tickets in a list.
const defaultTicketLimit = 20

func ticketListCommand(c *console) *ffcli.Command {
	flags := c.flags("list")
	after := flags.Int64("after", 0, "only tickets with a higher number")
	limit := flags.Int("limit", defaultTicketLimit, "at most so many, the latest ones; 0 lists all that are kept")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "egretring ticket list [flags]",
		ShortHelp:  "list accepted tickets",
		LongHelp:   "Example:\n  egretring ticket list -after 1200",
		FlagSet:    flags,
		Exec: c.exec("", func(ctx context.Context, client *requester.Client, _ []string) error {
			view, err := client.Tickets(ctx, reporter.TicketQuery{After: *after, Limit: *limit})
			return show(c, view, err, printer.Tickets)
		}),
	}
}
