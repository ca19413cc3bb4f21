package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
)

func jobsCommand(c *console) *ffcli.Command {
	flags := c.flags("jobs")
	team := flags.String("team", "", "only the jobs of this team")
	zone := flags.String("zone", "", "only the jobs in this availability zone")
	policy := flags.String("policy", "", "only the jobs with this policy: Service, Batch or Gang")
	return &ffcli.Command{
		Name:       "jobs",
		ShortUsage: "egretring jobs [flags]",
		ShortHelp:  "list the jobs",
		LongHelp:   "Example:\n  egretring jobs -team ledger -policy Gang",
		FlagSet:    flags,
		Exec: c.exec("", func(ctx context.Context, client *requester.Client, _ []string) error {
			view, err := client.Jobs(ctx, reporter.JobQuery{
				Team:             describer.TeamID(*team),
				AvailabilityZone: describer.AvailabilityZoneID(*zone),
				Policy:           describer.JobPolicy(*policy),
			})
			return show(c, view, err, printer.Jobs)
		}),
	}
}
