package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
)

func workersCommand(c *console) *ffcli.Command {
	flags := c.flags("workers")
	zone := flags.String("zone", "", "only the workers in this availability zone")
	state := flags.String("state", "", "only the workers in this state: Live, Leaving or Gone")
	return &ffcli.Command{
		Name:       "workers",
		ShortUsage: "egretring workers [flags]",
		ShortHelp:  "list the workers (backend servers)",
		LongHelp:   "Example:\n  egretring workers -zone vallarta -state Leaving",
		FlagSet:    flags,
		Exec: c.exec("", func(ctx context.Context, client *requester.Client, _ []string) error {
			view, err := client.Servers(ctx, reporter.ServerQuery{
				AvailabilityZone: describer.AvailabilityZoneID(*zone),
				State:            describer.ServerState(*state),
			})
			return show(c, view, err, printer.Servers)
		}),
	}
}
