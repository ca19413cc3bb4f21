package coordinator

import "time"

const (
	// slowAge is the age of an event at its handling from which on a window counts as slow. A healthy owner handles events
	// within ten milliseconds; on an instance that runs seven times slower every half second has one above 45 ms.
	slowAge = 25 * time.Millisecond
	// lagWindow is the time over which the highest age counts, and slowWindows how many slow ones more than fast ones make the
	// owner hand over.
	lagWindow   = 500 * time.Millisecond
	slowWindows = 3
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
	if l.worst >= slowAge {
		l.slow++
	} else {
		l.slow = max(0, l.slow-1)
	}
	l.worst, l.windowEnd = 0, now.Add(lagWindow)
	return l.slow >= slowWindows && now.Sub(l.beganAt) >= shortestOwnership
}
