//go:build review

package scripts

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const (
	// job is the job that a case is about, where there is one.
	job = "5c0e7a21d94b36f8"
	// smallJobs are handed in to see whether others are served.
	smallJobs = 10
	// finish is finish_s of the bounds, and lapse the time in which a job must have something running.
	finish = 14 * time.Second
	lapse  = 3 * time.Second
)

func small(n int) string { return fmt.Sprintf("6d1f8b32ea5c4%03x", n) }

// TestMain plays the case that the variable CASE names, in place of tests. Each case ends the process with its exit code.
func TestMain(*testing.M) {
	cases := map[string]func(){"2": case2, "3": case3, "4": case4, "5": case5}
	play, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "CASE names no script")
		os.Exit(CannotRun)
	}
	play()
}
