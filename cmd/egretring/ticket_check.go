package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func ticketCheckCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "egretring ticket check [flags] FILE",
		ShortHelp:  "say whether a ticket would be accepted, and what it would change",
		LongHelp:   "Example:\n  egretring ticket check examples/tumbonas/jobs.hujson",
		FlagSet:    c.flags("check"),
		Exec: c.exec("FILE", func(ctx context.Context, client *requester.Client, args []string) error {
			text, err := c.readTicket(args[0])
			if err != nil {
				return err
			}
			view, err := client.Check(ctx, text)
			return show(c, view, err, printer.Changes)
		}),
	}
}
