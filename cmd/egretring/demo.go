package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/demonstrator"
	"egretring.example/egretring/printer"
)

// demoDuration is the default length of the load; the start and the end of a demo take a few seconds more.
const demoDuration = 15 * time.Second

func demoCommand(c *console) *ffcli.Command {
	flags := c.flags("demo")
	options := demonstrator.Options{}
	flags.StringVar(&options.Deployment, "deployment", "tumbonas", "size of the cell: tumbonas or hronov")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flags.DurationVar(&options.Duration, "duration", demoDuration, "length of the load")
	logs := flags.Bool("logs", false, "write the log lines of the daemons to standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "egretring demo [flags]",
		ShortHelp:  "run a whole cell in one process, break parts of it, and show what callers saw",
		LongHelp:   "Ends with code 1 when a guarantee was broken.\n\nExample:\n  egretring demo -deployment hronov -seed 7",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			options.Progress = c.stderr
			if *logs {
				options.Logs = c.stderr
			}
			return c.demo(ctx, options)
		},
	}
}

func (c *console) demo(ctx context.Context, options demonstrator.Options) error {
	fmt.Fprintf(c.stderr, "deployment %s, seed %d, load for %s\n", options.Deployment, options.Seed, options.Duration)
	result, err := demonstrator.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.json {
		err = json.NewEncoder(c.stdout).Encode(result)
	} else {
		err = printer.Demo(c.stdout, result)
	}
	if err != nil {
		return err
	}
	if broken := result.BrokenGuarantees(); len(broken) > 0 {
		return classifier.New(classifier.Internal, "the run broke guarantees: %s", strings.Join(broken, "; "))
	}
	return nil
}
