package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/timekeeper"
)

// progressInterval is the time between two polls of where a ticket is in force.
const progressInterval = 250 * time.Millisecond

func ticketApplyCommand(c *console) *ffcli.Command {
	flags := c.flags("apply")
	wait := flags.Bool("wait", false, "show progress until the ticket is in force everywhere")
	rebase := flags.Bool("rebase", false, "base the ticket on the current state, whatever it changed before")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "egretring ticket apply [flags] FILE",
		ShortHelp:  "apply a ticket",
		LongHelp: "A ticket with the same ID and content as an accepted one changes nothing and gets the same number,\n" +
			"so a command whose outcome is unknown can be repeated.\n\n" +
			"Example:\n  egretring ticket apply -wait examples/tumbonas/services.hujson",
		FlagSet: flags,
		Exec: c.exec("FILE", func(ctx context.Context, client *requester.Client, args []string) error {
			text, err := c.readTicket(args[0])
			if err != nil {
				return err
			}
			if *rebase {
				if text, err = rebased(ctx, client, text); err != nil {
					return err
				}
			}
			return c.apply(ctx, client, text, *wait)
		}),
	}
}

// rebased returns the text of the ticket with the last applied ticket as its base.
func rebased(ctx context.Context, client *requester.Client, text []byte) ([]byte, error) {
	ticket, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	return encode(ticket.WithBase(status.Configuration.Applied))
}

func encode(ticket ticketer.Ticket) ([]byte, error) {
	text, err := json.Marshal(ticket)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode ticket")
	}
	return text, nil
}

// apply applies a ticket and, if wait is set, waits until it is in force everywhere.
func (c *console) apply(ctx context.Context, client *requester.Client, text []byte, wait bool) error {
	accepted, err := client.Apply(ctx, text)
	if err := show(c, accepted, err, printer.Accepted); err != nil || !wait {
		return err
	}
	return c.waitInForce(ctx, client, accepted)
}

// waitInForce waits until a ticket is in force everywhere and shows its progress each time that changes.
func (c *console) waitInForce(ctx context.Context, client *requester.Client, accepted reporter.AcceptedView) error {
	var last reporter.InForceView
	for {
		view, err := client.InForce(ctx, accepted.Number)
		// An instance that has not applied the ticket yet responds with NotFound.
		if err != nil && ctx.Err() == nil && !classifier.IsErrKind(err, classifier.NotFound) {
			return err
		}
		if err == nil && differs(last, view) {
			last = view
			if err := show(c, view, nil, printer.Progress); err != nil {
				return err
			}
		}
		if err == nil && view.InForce {
			return nil
		}
		if !timekeeper.Sleep(ctx, progressInterval) {
			return classifier.New(classifier.DeadlineExceeded,
				"ticket %d is accepted, but was not in force everywhere within %v", accepted.Number, c.timeout)
		}
	}
}

func differs(a, b reporter.InForceView) bool {
	return a.Number != b.Number || a.InForce != b.InForce || a.Applied != b.Applied || a.Live != b.Live ||
		len(a.SilentZones) != len(b.SilentZones)
}
