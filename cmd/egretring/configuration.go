package main

import (
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/keeper"
)

func configurationCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:        "configuration",
		ShortUsage:  "egretring configuration <subcommand> [flags] [arguments]",
		ShortHelp:   "check configurations of the users' platform",
		LongHelp:    "Example:\n  egretring configuration check configuration.json",
		FlagSet:     c.flags("configuration"),
		Subcommands: []*ffcli.Command{configurationCheckCommand(c)},
	}
}

// readConfiguration reads the text of a configuration from a file, or from the standard input for "-". A text that is too large
// for the store is read up to one byte more than the store holds, which the check reports.
func (c *console) readConfiguration(name string) ([]byte, error) {
	file := io.NopCloser(c.stdin)
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.NotFound, "read configuration")
		}
		file = opened
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, keeper.MaxValueBytes+1))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.NotFound, "read configuration %s", name)
	}
	return text, nil
}
