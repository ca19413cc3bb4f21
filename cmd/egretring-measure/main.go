// Command egretring-measure runs the measurements of package measurer and prints the figures as Markdown tables. Tasks
// and requests are simulated in virtual time; the computing cost of tasks, calls over loopback and capacity are
// measured in wall or processor time.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

func main() {
	root := &ffcli.Command{
		ShortUsage: "egretring-measure <subcommand> [flags]",
		Subcommands: []*ffcli.Command{
			newTasksCommand(), newRequestsCommand(), newLoopbackCommand(), newCapacityCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
