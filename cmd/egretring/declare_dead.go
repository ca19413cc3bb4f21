package main

import (
	"context"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/ticketer"
)

func declareDeadCommand(c *console) *ffcli.Command {
	flags := c.flags("declare-dead")
	incarnation := flags.Int64("incarnation", 0, "the last incarnation that is dead; 0 takes the one in the status")
	reason := flags.String("reason", "", "why, for other operators")
	wait := flags.Bool("wait", false, "show progress until the ticket is in force everywhere")
	return &ffcli.Command{
		Name:       "declare-dead",
		ShortUsage: "egretring declare-dead [flags] INSTANCE",
		ShortHelp:  "write a ticket that declares an entry instance dead, so that others take over its share",
		LongHelp: "Make sure first that the process has ended: an instance that still runs and is declared dead may\n" +
			"overload workers.\n\nExample:\n  egretring declare-dead -reason \"machine removed\" mazatlan-2",
		FlagSet: flags,
		Exec: c.exec("INSTANCE", func(ctx context.Context, client *requester.Client, args []string) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			id := describer.InstanceID(args[0])
			dead, err := deadInstance(status, id, describer.Incarnation(*incarnation))
			if err != nil {
				return err
			}
			dead.Reason = *reason
			ticket := newTicket("declare-dead", status)
			ticket.DeadInstances = map[describer.InstanceID]*ticketer.DeadInstance{id: &dead}
			return c.applyTicket(ctx, client, ticket, *wait)
		}),
	}
}

// deadInstance returns the entry of a ticket that declares an instance dead. Without a given incarnation it takes the
// one in the status. It refuses an instance that the status shows as live, unless only an earlier incarnation is
// declared dead.
func deadInstance(
	status reporter.StatusView, id describer.InstanceID, incarnation describer.Incarnation,
) (ticketer.DeadInstance, error) {
	index := slices.IndexFunc(status.Instances, func(view reporter.InstanceView) bool { return view.Instance == id })
	if index < 0 && incarnation == 0 {
		return ticketer.DeadInstance{}, classifier.New(classifier.NotFound,
			"entry instance %q is not in the status; name its incarnation with -incarnation", id)
	}
	if index >= 0 {
		known := status.Instances[index]
		if incarnation == 0 {
			incarnation = known.Incarnation
		}
		if known.Live && incarnation >= known.Incarnation {
			return ticketer.DeadInstance{}, classifier.New(classifier.Forbidden,
				"entry instance %q is alive: its incarnation %d was heard from at %s", id, known.Incarnation, known.LastHeard)
		}
	}
	return ticketer.DeadInstance{Instance: id, Incarnation: incarnation}, nil
}
