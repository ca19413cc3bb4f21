// Command egretring is the operators' client of a cell.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, &console{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, http: &http.Client{}, instances: os.Getenv(instancesVariable),
	}, os.Args[1:])
	stop()
	os.Exit(code)
}

// run runs one command and returns the exit code: zero, that of the kind of its error, or that of the outcome of a check.
func run(ctx context.Context, console *console, args []string) int {
	root := rootCommand(console)
	if err := root.Parse(args); err != nil {
		return exitCode(console.stderr, parseError(err))
	}
	return exitCode(console.stderr, root.Run(ctx))
}

// parseError classifies an error from parsing the command line. A request for help is not an error.
func parseError(err error) error {
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil
	case errors.As(err, &noExec):
		return classifier.New(classifier.BadRequest, "a subcommand is missing; -h lists them")
	default:
		return classifier.Wrap(err, classifier.BadRequest, "command line")
	}
}

func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return 0
	}
	var checked checkOutcome
	if errors.As(err, &checked) {
		return checked.code
	}
	fmt.Fprintf(stderr, "egretring: %v\n", err)
	return classifier.ErrorResponseOf(classifier.KindOf(err)).ExitCode
}
