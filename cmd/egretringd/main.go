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

func run(args []string, out, problems io.Writer) int {
	o, err := parse(args, problems)
	if err != nil {
		return exitUsage
	}
	if o.fields {
		fmt.Fprint(out, loader.Table())
		return 0
	}
	settings, err := loader.Load(o.settings)
	if err != nil {
		fmt.Fprintln(problems, err)
		return classifier.AnswerOf(classifier.KindOf(err)).ExitCode
	}
	if o.check {
		fmt.Fprintf(out, "%s: settings are valid\n", o.settings)
		return 0
	}
	if err := serve(settings, newLogger(out, settings.LogLevel)); err != nil {
		fmt.Fprintln(problems, err)
		return exitFailed
	}
	return 0
}

func parse(args []string, problems io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("egretringd", flag.ContinueOnError)
	flags.SetOutput(problems)
	flags.StringVar(&o.settings, "settings", "egretringd.hujson", "settings file, JSON with comments")
	flags.BoolVar(&o.fields, "fields", false, "only print the table of all settings")
	check := flags.String("check", "", "only check this settings file")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("EGRETRINGD")); err != nil {
		fmt.Fprintln(problems, err)
		return o, err
	}
	if *check != "" {
		o.settings, o.check = *check, true
	}
	return o, nil
}

func newLogger(out io.Writer, level string) *slog.Logger {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: least}))
}

// awaitStop reloads at each signal of the second kind until one of the first kind arrives, or the daemon has failed. It
// reports whether a signal ended it.
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

// serve runs the daemon until a signal. SIGHUP reads the certificates again. The first SIGTERM or SIGINT drains; a
// second one ends the drain.
func serve(settings loader.Settings, logger *slog.Logger) error {
	daemon, err := server.New(settings, server.WithLogger(logger))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	daemon.Start()
	if !awaitStop(signals, reloads, daemon.Dying(), daemon.ReloadCertificates) {
		return daemon.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return daemon.Drain(ctx)
}
