package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func whyCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "why",
		ShortUsage: "egretring why [flags] WHAT",
		ShortHelp:  "explain a job, task, service, worker or instance",
		LongHelp:   "A task is named by its job and index.\n\nExample:\n  egretring why night-audit/3",
		FlagSet:    c.flags("why"),
		Exec: c.exec("WHAT", func(ctx context.Context, client *requester.Client, args []string) error {
			view, err := client.Why(ctx, args[0])
			return show(c, view, err, printer.Reasons)
		}),
	}
}
