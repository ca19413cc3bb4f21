package main

import (
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/parser"
)

func ticketCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "ticket",
		ShortUsage: "egretring ticket <subcommand> [flags] [arguments]",
		ShortHelp:  "check, apply and read change tickets",
		LongHelp:   "Example:\n  egretring ticket apply -wait examples/tumbonas/services.hujson",
		FlagSet:    c.flags("ticket"),
		Subcommands: []*ffcli.Command{
			ticketCheckCommand(c), ticketApplyCommand(c), ticketShowCommand(c), ticketListCommand(c), ticketDiffCommand(c),
		},
	}
}

// readTicket reads the text of a ticket from a file, or from the standard input for "-".
func (c *console) readTicket(name string) ([]byte, error) {
	file := io.NopCloser(c.stdin)
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.BadRequest, "read ticket")
		}
		file = opened
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, parser.MaxTextBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.BadRequest, "read ticket %s", name)
	}
	return text, nil
}
