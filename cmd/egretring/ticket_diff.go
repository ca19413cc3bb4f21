package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func ticketDiffCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "egretring ticket diff [flags] FILE",
		ShortHelp:  "show what a ticket would change, also when it conflicts",
		LongHelp:   "Example:\n  egretring ticket diff examples/hronov/services.hujson",
		FlagSet:    c.flags("diff"),
		Exec: c.exec("FILE", func(ctx context.Context, client *requester.Client, args []string) error {
			text, err := c.readTicket(args[0])
			if err != nil {
				return err
			}
			view, err := client.Diff(ctx, text)
			return show(c, view, err, printer.Changes)
		}),
	}
}
