package adviser

import "time"

const (
	// maxReservedPercent is the percentage of advisors that long calls leave to short ones at most, so that short calls for
	// urgent jobs do not wait for long ones.
	maxReservedPercent = 34
	// shortCallWindow is the time over which the largest number of concurrent short calls is taken. Long calls leave one
	// advisor more than that to short ones.
	shortCallWindow = 2 * time.Second
	// minBackoff is the backoff of an advisor after a failed call. It doubles with each further failure up to
	// maxBackoff, which it would exceed after maxFailures.
	minBackoff  = 500 * time.Millisecond
	maxBackoff  = 4 * time.Second
	maxFailures = 4
)

// Pool is the set of advisors of an owner. It is not safe for concurrent use.
type Pool struct {
	advisors []*advisor
	// shortCalls is the largest number of concurrent short calls in the present window, which ends at windowEnd, and
	// previousShortCalls that in the window before it.
	shortCalls, previousShortCalls int
	windowEnd                      time.Time
}

// advisor is an instance that makes calls to the advice service.
type advisor struct {
	name string
	// busyUntil is when the advisor becomes free after a call or a backoff.
	busyUntil time.Time
	long      bool
	// failures counts the failed calls since the last success, up to maxFailures.
	failures int
}

func (a *advisor) free(now time.Time) bool {
	return !now.Before(a.busyUntil)
}

// Set replaces the advisors. Those that are in both lists keep their state.
func (p *Pool) Set(names []string) {
	known := make(map[string]*advisor, len(p.advisors))
	for _, a := range p.advisors {
		known[a.name] = a
	}
	p.advisors = nil
	for _, name := range names {
		a := known[name]
		if a == nil {
			a = &advisor{name: name}
		}
		p.advisors = append(p.advisors, a)
	}
}

// Len returns the number of advisors.
func (p *Pool) Len() int {
	return len(p.advisors)
}

// LongCalls returns how many long calls may be made at the same time.
func (p *Pool) LongCalls() int {
	reserved := min(max(p.shortCalls, p.previousShortCalls)+1, len(p.advisors)*maxReservedPercent/100)
	return max(1, len(p.advisors)-reserved)
}

// countShortCalls records the number of short calls in flight.
func (p *Pool) countShortCalls(now time.Time) {
	if !now.Before(p.windowEnd) {
		p.previousShortCalls, p.shortCalls = p.shortCalls, 0
		p.windowEnd = now.Add(shortCallWindow)
	}
	count := 0
	for _, a := range p.advisors {
		if !a.free(now) && !a.long {
			count++
		}
	}
	p.shortCalls = max(p.shortCalls, count)
}

// Free returns the number of free advisors, and how many of them may make a long call.
func (p *Pool) Free(now time.Time) (free, freeForLong int) {
	longCalls := 0
	for _, a := range p.advisors {
		switch {
		case a.free(now):
			free++
		case a.long:
			longCalls++
		}
	}
	return free, min(free, p.LongCalls()-longCalls)
}

// Take reserves the free advisor with the fewest failures until the given time, and returns its name. It reports false
// when none may make the call.
func (p *Pool) Take(now, until time.Time, long bool) (string, bool) {
	if _, freeForLong := p.Free(now); long && freeForLong <= 0 {
		return "", false
	}
	var best *advisor
	for _, a := range p.advisors {
		if a.free(now) && (best == nil || a.failures < best.failures) {
			best = a
		}
	}
	if best == nil {
		return "", false
	}
	best.busyUntil, best.long = until, long
	p.countShortCalls(now)
	return best.name, true
}

// Finish records the result of an advisor's call. An advisor whose call failed is used again only after an exponential
// backoff.
func (p *Pool) Finish(now time.Time, name string, failed bool) {
	for _, a := range p.advisors {
		switch {
		case a.name != name:
		case failed:
			a.busyUntil = now.Add(min(minBackoff<<a.failures, maxBackoff))
			a.failures = min(a.failures+1, maxFailures)
		default:
			a.busyUntil, a.failures = time.Time{}, 0
		}
	}
}
