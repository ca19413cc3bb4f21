// Package timekeeper provides a clock that neither jumps with the time of day nor stands still while the instance is
// suspended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// SteadyClock starts at the time of day of its creation and follows the boot-time clock, which goes on during a
// suspension. Later steps of the time of day do not change it.
type SteadyClock struct {
	origin time.Time
	boot   time.Duration
}

// NewSteadyClock returns a clock that starts now.
func NewSteadyClock() *SteadyClock {
	return &SteadyClock{origin: time.Now().Round(0), boot: bootTime()}
}

// Now returns the time.
func (c *SteadyClock) Now() time.Time {
	return c.origin.Add(bootTime() - c.boot)
}

// bootTime returns the time since boot with suspensions. The call cannot fail with a valid clock.
func bootTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// WallClock is the time of day.
type WallClock struct{}

// Now returns the time of day.
func (WallClock) Now() time.Time {
	return time.Now()
}
