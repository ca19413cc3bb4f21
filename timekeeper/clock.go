// Package timekeeper provides a clock that neither follows steps of the wall clock nor stops while the machine is
// suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a source of the current time.
type Clock interface {
	Now() time.Time
}

// SteadyClock starts at the wall-clock time of its creation and follows the boot-time clock, which keeps running while
// the machine is suspended. Later steps of the wall clock do not change it.
type SteadyClock struct {
	origin time.Time
	boot   time.Duration
}

// NewSteadyClock returns a clock that starts at the current wall-clock time.
func NewSteadyClock() *SteadyClock {
	return &SteadyClock{origin: time.Now().Round(0), boot: bootTime()}
}

// Now returns the current time of the clock.
func (c *SteadyClock) Now() time.Time {
	return c.origin.Add(bootTime() - c.boot)
}

// bootTime returns the time since boot, including the time during which the machine was suspended. The call cannot fail
// for a valid clock ID.
func bootTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// WallClock is a Clock that returns the wall-clock time.
type WallClock struct{}

// Now returns the wall-clock time.
func (WallClock) Now() time.Time {
	return time.Now()
}
