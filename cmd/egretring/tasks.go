package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
)

func tasksCommand(c *console) *ffcli.Command {
	flags := c.flags("tasks")
	job := flags.String("job", "", "only the tasks of this job")
	zone := flags.String("zone", "", "only the tasks in this availability zone")
	worker := flags.String("worker", "", "only the tasks on this worker")
	state := flags.String("state", "", "only the tasks in this state")
	return &ffcli.Command{
		Name:       "tasks",
		ShortUsage: "egretring tasks [flags]",
		ShortHelp:  "list the tasks",
		LongHelp:   "Example:\n  egretring tasks -job night-audit",
		FlagSet:    flags,
		Exec: c.exec("", func(ctx context.Context, client *requester.Client, _ []string) error {
			view, err := client.Tasks(ctx, reporter.TaskQuery{
				Job:              describer.JobID(*job),
				AvailabilityZone: describer.AvailabilityZoneID(*zone),
				BackendServer:    describer.BackendServerID(*worker),
				State:            *state,
			})
			return show(c, view, err, printer.Tasks)
		}),
	}
}
