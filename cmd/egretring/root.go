package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/authenticator"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

// instancesVariable is the environment variable that holds the default of the flag -instances.
const instancesVariable = "EGRETRING_INSTANCES"

// console holds the streams of a command, its HTTP client and the flags that all commands share.
type console struct {
	stdin     io.Reader
	stdout    io.Writer
	stderr    io.Writer
	http      *http.Client
	instances string
	json      bool
	timeout   time.Duration
	// files are the operator's certificate, its key and the authorities of the entry instances.
	files authenticator.Files
}

func rootCommand(c *console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "egretring",
		ShortUsage: "egretring <subcommand> [flags] [arguments]",
		ShortHelp:  "operate a cell",
		LongHelp: "Exit codes: 0 done, 1 failed, 2 bad request or ticket, 3 not found, 4 try again later,\n" +
			"5 outcome unknown, 6 conflict, 7 forbidden, 8 valid with warnings, 9 configuration not valid.\n\nExample:\n  " + instancesVariable +
			"=http://10.0.0.1:7002,http://10.0.0.2:7002 egretring status",
		FlagSet: c.flags("egretring"),
		Subcommands: []*ffcli.Command{
			ticketCommand(c), configurationCommand(c), statusCommand(c), servicesCommand(c), jobsCommand(c), tasksCommand(c),
			workersCommand(c), zonesCommand(c), teamsCommand(c), whyCommand(c), drainCommand(c), declareDeadCommand(c), topCommand(c), demoCommand(c),
		},
	}
}

// flags returns a flag set with the flags that all commands share, so that these can also follow a subcommand.
func (c *console) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.StringVar(&c.instances, "instances", c.instances, "base URLs of entry instances, separated by commas")
	flags.BoolVar(&c.json, "json", c.json, "write JSON for programs")
	flags.StringVar(&c.files.Certificate, "certificate", c.files.Certificate, "PEM file of the operator's certificate")
	flags.StringVar(&c.files.Key, "key", c.files.Key, "PEM file of the certificate's key")
	flags.StringVar(&c.files.Authorities, "authorities", c.files.Authorities,
		"PEM file of the authorities of the entry instances' certificates")
	flags.DurationVar(&c.timeout, "timeout", time.Minute, "longest time of the command")
	return flags
}

// client returns a client of the entry instances that the flag -instances names.
func (c *console) client() (*requester.Client, error) {
	var bases []string
	for base := range strings.SplitSeq(c.instances, ",") {
		base = strings.TrimRight(strings.TrimSpace(base), "/")
		if base != "" {
			bases = append(bases, base)
		}
	}
	if len(bases) == 0 {
		return nil, classifier.New(classifier.BadRequest,
			"no entry instance is given; set -instances or %s", instancesVariable)
	}
	transport, err := c.transport()
	return requester.New(bases, transport), err
}

// transport returns the HTTP client, which uses TLS with the operator's certificate when one is given.
func (c *console) transport() (*http.Client, error) {
	given := []string{c.files.Certificate, c.files.Key, c.files.Authorities}
	if strings.Join(given, "") == "" {
		return c.http, nil
	}
	if slices.Contains(given, "") {
		return nil, classifier.New(classifier.BadRequest, "-certificate, -key and -authorities must be given together")
	}
	identity, err := authenticator.New(c.files)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.BadRequest, "operator's certificate")
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: identity.ClientConfig()}}, nil
}

// exec returns the function that executes a command. The names of the command's arguments are separated by spaces, and
// the command accepts exactly that many arguments. The function run gets a client and a context that ends after the
// timeout.
func (c *console) exec(
	arguments string, run func(ctx context.Context, client *requester.Client, args []string) error,
) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := checkArguments(arguments, args); err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return run(ctx, client, args)
	}
}

// checkArguments returns an error unless there are as many arguments as the names, which are separated by spaces.
func checkArguments(names string, args []string) error {
	if want := len(strings.Fields(names)); len(args) != want {
		return classifier.New(classifier.BadRequest,
			"%d arguments are given, but %d are needed: %q (flags stand before them)", len(args), want, names)
	}
	return nil
}

// show writes a view as JSON for programs or as a table for people.
func show[V any](c *console, view V, err error, table func(io.Writer, V) error) error {
	if err != nil {
		return err
	}
	if c.json {
		return printer.JSON(c.stdout, view)
	}
	return table(c.stdout, view)
}

// viewCommand returns a command without arguments that gets one view and shows it.
func viewCommand[V any](
	c *console, name, help string, get func(*requester.Client, context.Context) (V, error), table func(io.Writer, V) error,
) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "egretring " + name + " [flags]",
		ShortHelp:  help,
		LongHelp:   "Example:\n  egretring " + name + " -json",
		FlagSet:    c.flags(name),
		Exec: c.exec("", func(ctx context.Context, client *requester.Client, _ []string) error {
			view, err := get(client, ctx)
			return show(c, view, err, table)
		}),
	}
}
