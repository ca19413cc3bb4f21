package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"egretring.example/egretring/measurer"
)

// newCapacityCommand returns the subcommand that measures how the processor time, the memory and the transferred bytes
// of each component grow with the size of its input.
func newCapacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("egretring-measure capacity", flag.ContinueOnError)
	seeds := flags.String("seeds", "1", "seed of the random choices; only the first one is used")
	only := flags.String("only", "", "names of the measurements to run, separated by commas; empty runs all")
	commit := flags.String("commit", "unknown", "commit that is measured, for the heading")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "egretring-measure capacity [flags]",
		ShortHelp:  "measure processor time, memory and bytes of each role at several sizes",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			list, err := parseSeeds(*seeds)
			if err != nil {
				return err
			}
			return printCapacity(list, *only, *commit)
		},
	}
}

func printCapacity(seeds []uint64, only, commit string) error {
	fmt.Printf("# Measurements of capacity\n\nCommand: `egretring-measure %s`. Commit: %s. Seed: %d. Processors: %d. "+
		"Load averages at the start: %s.\n\n", strings.Join(os.Args[1:], " "), commit, seeds[0], runtime.NumCPU(), loadAverage())
	fmt.Print("Times are processor time of the whole process with its garbage collector, because the machine is shared and " +
		"wall time follows its other load. Each line is a least-squares fit to all sizes; the worst error is relative to " +
		"the measured figure. The last two columns evaluate the line, at sizes below the smallest measured one also beyond " +
		"the range.\n\n")
	for _, measurement := range measurer.CapacityMeasurements() {
		if !isSelected(measurement.Name, only) {
			continue
		}
		started := time.Now()
		table := measurement.Run(seeds)
		if _, err := table.WriteTo(os.Stdout); err != nil {
			return errors.Wrap(err, "print table")
		}
		fmt.Fprintf(os.Stderr, "%s: %s\n", measurement.Name, time.Since(started).Round(time.Millisecond))
	}
	fmt.Printf("Load averages at the end: %s.\n", loadAverage())
	return nil
}
