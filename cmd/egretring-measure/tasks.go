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

// newTasksCommand returns the subcommand that measures how tasks are placed, started and recorded in the store.
func newTasksCommand() *ffcli.Command {
	flags := flag.NewFlagSet("egretring-measure tasks", flag.ContinueOnError)
	seeds := flags.String("seeds", "1,2,3,4,5", "seeds of the generated load, separated by commas")
	only := flags.String("only", "", "names of the measurements to run, separated by commas; empty runs all")
	commit := flags.String("commit", "unknown", "commit that is measured, for the heading")
	return &ffcli.Command{
		Name:       "tasks",
		ShortUsage: "egretring-measure tasks [flags]",
		ShortHelp:  "measure placing, starting and committing of tasks",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			list, err := parseSeeds(*seeds)
			if err != nil {
				return err
			}
			return printTasks(list, *only, *commit)
		},
	}
}

func printTasks(seeds []uint64, only, commit string) error {
	fmt.Printf("# Measurements of tasks\n\nCommand: `egretring-measure %s`. Commit: %s. Seeds: %v.\n\n",
		strings.Join(os.Args[1:], " "), commit, seeds)
	for _, measurement := range measurer.TaskMeasurements() {
		if !isSelected(measurement.Name, only) {
			continue
		}
		table := measurement.Run(seeds)
		if _, err := table.WriteTo(os.Stdout); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return nil
}
