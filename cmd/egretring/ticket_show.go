package main

import (
	"context"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/ticketer"
)

func ticketShowCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "egretring ticket show [flags] NUMBER",
		ShortHelp:  "show an accepted ticket as it can be applied again; -json adds its number and acceptance",
		LongHelp:   "Example:\n  egretring ticket show 17",
		FlagSet:    c.flags("show"),
		Exec: c.exec("NUMBER", func(ctx context.Context, client *requester.Client, args []string) error {
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return classifier.New(classifier.BadRequest, "%q is not a ticket number", args[0])
			}
			view, err := client.Ticket(ctx, number)
			return show(c, view, err, func(w io.Writer, accepted ticketer.AcceptedTicket) error {
				return printer.JSON(w, accepted.Ticket)
			})
		}),
	}
}
