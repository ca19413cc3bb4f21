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

// defaultWorkers is the default number of runs made at the same time.
const defaultWorkers = 4

// newRequestsCommand returns the subcommand that measures the request path in virtual time.
func newRequestsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("egretring-measure requests", flag.ContinueOnError)
	seeds := flags.String("seeds", "1,2,3,4,5", "seeds of the generated load, separated by commas")
	workers := flags.Int("workers", defaultWorkers, "number of runs made at the same time; it does not change the figures")
	chosenOnly := flags.Bool("chosen-only", false, "leave out the comparison with other policies")
	commit := flags.String("commit", "unknown", "commit that is measured, for the heading")
	return &ffcli.Command{
		Name:       "requests",
		ShortUsage: "egretring-measure requests [flags]",
		ShortHelp:  "measure the request path in virtual time",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			list, err := parseSeeds(*seeds)
			if err != nil {
				return err
			}
			return printRequests(measurer.RequestOptions{Seeds: list, Workers: max(1, *workers), ChosenOnly: *chosenOnly}, *commit)
		},
	}
}

func printRequests(options measurer.RequestOptions, commit string) error {
	tables, err := measurer.MeasureRequests(options)
	if err != nil {
		return err
	}
	fmt.Printf("# Measurements of the request path\n\nCommand: `egretring-measure %s`. Commit: %s. Seeds: %v.\n\n",
		strings.Join(os.Args[1:], " "), commit, options.Seeds)
	for _, table := range tables {
		if _, err := table.WriteTo(os.Stdout); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return nil
}
