package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	// slowAge is the age of an event at its handling from which on a window counts as slow. A healthy owner handles events
	// within ten milliseconds; on an instance that runs seven times slower every half second has one above 45 ms.
	slowAge = 25 * time.Millisecond
	// verySlowAge is the age from which on a window counts twice: starts come too late for urgent jobs.
	verySlowAge = 100 * time.Millisecond
	// lagWindow is the time over which the highest age counts, and slowWindows how many slow ones more than fast ones make the
	// owner hand over.
	lagWindow   = 250 * time.Millisecond
	slowWindows = 3
	// lagProbe is the sleep whose overrun shows that the process waits for the processor.
	lagProbe = 25 * time.Millisecond
	// shortestOwnership keeps a load that is too much for any instance from moving the ownership around all the time.
	shortestOwnership = 8 * time.Second
)

// lag notices that the owner's instance has become too slow for its duty.
type lag struct {
	beganAt   time.Time
	windowEnd time.Time
	worst     time.Duration
	slow      int
}

// observe notes the age of an event that is handled now, and reports whether the owner should hand over.
func (l *lag) observe(now time.Time, age time.Duration) bool {
	l.worst = max(l.worst, age)
	if now.Before(l.windowEnd) {
		return false
	}
	switch {
	case l.worst >= verySlowAge:
		l.slow += 2
	case l.worst >= slowAge:
		l.slow++
	default:
		l.slow = max(0, l.slow-1)
	}
	// Slow windows of long ago, as in a recovery, do not count.
	l.slow = min(l.slow, slowWindows)
	l.worst, l.windowEnd = 0, now.Add(lagWindow)
	return l.slow >= slowWindows && now.Sub(l.beganAt) >= shortestOwnership
}

// worstAge is the longest delay since it was last taken.
type worstAge struct {
	nanoseconds atomic.Int64
}

func (w *worstAge) note(age time.Duration) {
	for {
		known := w.nanoseconds.Load()
		if int64(age) <= known || w.nanoseconds.CompareAndSwap(known, int64(age)) {
			return
		}
	}
}

func (w *worstAge) take() time.Duration {
	return time.Duration(w.nanoseconds.Swap(0))
}

// watchLag hands over when the instance has become too slow. Beside the age of events it measures how late a sleep ends,
// because on a slow instance most events wait for the processor before they are posted.
func (o *owner) watchLag(ctx context.Context) {
	l := lag{beganAt: o.settings.clock.Now()}
	for ctx.Err() == nil {
		begun := o.settings.clock.Now()
		timekeeper.Sleep(ctx, lagProbe)
		now := o.settings.clock.Now()
		o.age.note(now.Sub(begun) - lagProbe)
		age := o.age.take()
		o.settings.meter.Observe("Owner.LagMicroseconds", age)
		if l.observe(now, age) {
			o.elector.Resign(o.ownership.Epoch, fmt.Sprintf("instance is slow: the last delay was %s", age))
			return
		}
	}
}
