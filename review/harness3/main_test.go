//go:build review

// Package harness3 has the stand-ins and scripts of the third review. It is built as a test binary and starts egretring-platform as
// separate processes on loopback addresses.
package harness3

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the number of a case to its script. A script returns how often the rule was broken.
var cases = map[string]func(c *cell) (broken int, err error){}

// TestMain runs the case that the environment names. It takes the place of the tests.
func TestMain(_ *testing.M) {
	os.Exit(run())
}

func run() int {
	number, folder, program := os.Getenv("REVIEW_CASE"), os.Getenv("REVIEW_FOLDER"), os.Getenv("REVIEW_PROGRAM")
	script := cases[number]
	if script == nil || folder == "" || program == "" {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE, REVIEW_FOLDER or REVIEW_PROGRAM is missing")
		return exitNotRun
	}
	c, err := newCell(program, filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		<-signals
		c.close()
		os.Exit(exitNotRun)
	}()
	broken, err := script(c)
	switch {
	case err != nil:
		c.record.line("not run: %v", err)
		return exitNotRun
	case broken > 0:
		c.record.line("result: the rule was broken, %d times", broken)
		return exitBroken
	default:
		c.record.line("result: the rule held")
		return exitHeld
	}
}
