// Command egretringd is the daemon of an entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/server"
)

const (
	exitFailed = 1
	// exitUsage is the exit code for bad flags.
	exitUsage = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

type options struct {
	settings string
	check    bool
	fields   bool
}

func run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if err != nil {
		return exitUsage
	}
	if o.fields {
		fmt.Fprint(stdout, loader.Table())
		return 0
	}
	settings, err := loader.Load(o.settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return classifier.ErrorResponseOf(classifier.KindOf(err)).ExitCode
	}
	if o.check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", o.settings)
		return 0
	}
	if err := serve(settings, newLogger(stdout, settings.LogLevel)); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return 0
}

func parse(args []string, stderr io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("egretringd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.settings, "settings", "egretringd.hujson", "settings file, JSON with comments")
	flags.BoolVar(&o.fields, "fields", false, "only print the table of all settings")
	check := flags.String("check", "", "only check this settings file")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("EGRETRINGD")); err != nil {
		fmt.Fprintln(stderr, err)
		return o, err
	}
	if *check != "" {
		o.settings, o.check = *check, true
	}
	return o, nil
}

func newLogger(stdout io.Writer, level string) *slog.Logger {
	var minimum slog.Level
	if err := minimum.UnmarshalText([]byte(level)); err != nil {
		minimum = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(stdout, &slog.HandlerOptions{Level: minimum}))
}

// awaitStop calls reload for each signal on reloads until a signal arrives on stops or the daemon has failed. It
// returns true after a stop signal and false after a failure.
func awaitStop(stops, reloads <-chan os.Signal, failed <-chan struct{}, reload func()) bool {
	for {
		select {
		case <-stops:
			return true
		case <-failed:
			return false
		case <-reloads:
			reload()
		}
	}
}

// serve runs the daemon until a stop signal or a failure. SIGHUP reloads the certificates. The first SIGTERM or SIGINT
// starts a drain, which takes at most DrainTimeout; a second one aborts it.
func serve(settings loader.Settings, logger *slog.Logger) error {
	daemon, err := server.New(settings, server.WithLogger(logger))
	if err != nil {
		return err
	}
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopSignals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	daemon.Start()
	if !awaitStop(stopSignals, reloads, daemon.Dying(), daemon.ReloadCertificates) {
		return daemon.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	go func() {
		<-stopSignals
		cancel()
	}()
	return daemon.Drain(ctx)
}
