package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	// slowThreshold is the minimum delay between the posting and the handling of an event at which a window counts as slow.
	// A healthy owner handles events within ten milliseconds; on an instance that runs seven times slower, every half
	// second has an event with a delay above 45 ms.
	slowThreshold = 25 * time.Millisecond
	// verySlowThreshold is the minimum delay at which a window counts twice, because starts come too late for urgent jobs.
	verySlowThreshold = 100 * time.Millisecond
	// lagWindow is the time over which the maximum delay is taken. The owner hands over when there were slowCountLimit more
	// slow windows than fast ones.
	lagWindow      = 250 * time.Millisecond
	slowCountLimit = 3
	// lagProbe is the duration of a sleep whose overrun shows that the process waits for the processor.
	lagProbe = 25 * time.Millisecond
	// minTermBeforeLagHandOver is how long an owner keeps the ownership however slow its instance is. It prevents
	// repeated handovers under a load that is too high for any instance.
	minTermBeforeLagHandOver = 8 * time.Second
)

// lagDetector detects that the owner's instance has become too slow to own the cell.
type lagDetector struct {
	beganAt   time.Time
	windowEnd time.Time
	windowMax time.Duration
	slowCount int
}

// observe records a delay that was measured now, and reports whether the owner should hand over.
func (l *lagDetector) observe(now time.Time, delay time.Duration) bool {
	l.windowMax = max(l.windowMax, delay)
	if now.Before(l.windowEnd) {
		return false
	}
	switch {
	case l.windowMax >= verySlowThreshold:
		l.slowCount += 2
	case l.windowMax >= slowThreshold:
		l.slowCount++
	default:
		l.slowCount = max(0, l.slowCount-1)
	}
	// The count is capped so that many earlier slow windows, such as those of a recovery, do not outweigh the fast ones
	// since then.
	l.slowCount = min(l.slowCount, slowCountLimit)
	l.windowMax, l.windowEnd = 0, now.Add(lagWindow)
	return l.slowCount >= slowCountLimit && now.Sub(l.beganAt) >= minTermBeforeLagHandOver
}

// maxDelay is the longest delay recorded since the last call of takeAndReset.
type maxDelay struct {
	nanoseconds atomic.Int64
}

func (m *maxDelay) record(delay time.Duration) {
	for {
		current := m.nanoseconds.Load()
		if int64(delay) <= current || m.nanoseconds.CompareAndSwap(current, int64(delay)) {
			return
		}
	}
}

func (m *maxDelay) takeAndReset() time.Duration {
	return time.Duration(m.nanoseconds.Swap(0))
}

// watchLag resigns the ownership when the instance has become too slow. In addition to the delay of events in the
// queue it measures how late a sleep ends, because on a slow instance most events wait for the processor before they
// are posted.
func (o *owner) watchLag(ctx context.Context) {
	l := lagDetector{beganAt: o.settings.clock.Now()}
	for ctx.Err() == nil {
		sleepStartedAt := o.settings.clock.Now()
		timekeeper.Sleep(ctx, lagProbe)
		now := o.settings.clock.Now()
		o.delay.record(now.Sub(sleepStartedAt) - lagProbe)
		delay := o.delay.takeAndReset()
		o.settings.meter.Observe("Owner.LagMicroseconds", delay)
		if l.observe(now, delay) {
			o.elector.Resign(o.ownership.Epoch, fmt.Sprintf("instance is slow: the last delay was %s", delay))
			return
		}
	}
}
