package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"egretring.example/egretring/measurer"
)

const (
	defaultCalls = 5000
	maxCalls     = 50_000
)

// newLoopbackCommand returns the subcommand that measures the wall time that an entry instance adds to a request.
func newLoopbackCommand() *ffcli.Command {
	flags := flag.NewFlagSet("egretring-measure loopback", flag.ContinueOnError)
	calls := flags.Int("calls", defaultCalls, "number of calls of each kind")
	commit := flags.String("commit", "unknown", "commit that is measured, for the heading")
	return &ffcli.Command{
		Name:       "loopback",
		ShortUsage: "egretring-measure loopback [flags]",
		ShortHelp:  "measure the time that an entry instance adds to a request over loopback",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			table, err := measurer.MeasureLoopback(ctx, min(max(1, *calls), maxCalls))
			if err != nil {
				return err
			}
			fmt.Printf("# Measurement over loopback\n\nCommand: `egretring-measure %s`. Commit: %s. Load average: %s.\n\n",
				strings.Join(os.Args[1:], " "), *commit, loadAverage())
			_, err = table.WriteTo(os.Stdout)
			return errors.Wrap(err, "print table")
		},
	}
}
