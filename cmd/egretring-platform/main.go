// Command egretring-platform runs an instance of egretring on the users' platform.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"

	"egretring.example/egretring/platform"
)

const (
	exitFailed = 1
	// exitUsage is the exit code for bad flags and settings.
	exitUsage = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

type options struct {
	settings string
	check    bool
}

func run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if err != nil {
		return exitUsage
	}
	settings, err := platform.LoadSettings(o.settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if o.check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", o.settings)
		return 0
	}
	if err := serve(o.settings, settings, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return 0
}

func parse(args []string, stderr io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("egretring-platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.settings, "settings", "", "settings file, JSON with comments; also in "+platform.SettingsVariable)
	flags.BoolVar(&o.check, "check", false, "only check the settings file")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("EGRETRING")); err != nil {
		fmt.Fprintln(stderr, err)
		return o, err
	}
	return o, nil
}
