package adviser

import "time"

const (
	// longCallShare is the percentage of advisors that long calls may occupy; short calls for urgent work would wait behind
	// them.
	longCallShare = 67
	// shortestPause is the pause of an advisor after a failed call; it doubles up to longestPause, which mostFailures exceed.
	shortestPause = 500 * time.Millisecond
	longestPause  = 4 * time.Second
	mostFailures  = 4
)

// Pool are the advisors of an owner. It is not safe for concurrent use.
type Pool struct {
	advisors []*advisor
}

// advisor is an instance that makes advice calls.
type advisor struct {
	name string
	// busyUntil is zero when the advisor is free.
	busyUntil time.Time
	long      bool
	// failures counts the calls without success since the last success.
	failures int
}

func (a *advisor) free(now time.Time) bool {
	return !now.Before(a.busyUntil)
}

// Set replaces the advisors. Those that stay keep their calls.
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
	return free, min(free, max(1, len(p.advisors)*longCallShare/100)-longCalls)
}

// Take occupies a free advisor until a time, one without failures first. It reports false when there is none.
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
	return best.name, true
}

// Finish notes the end of an advisor's call. One that fails again and again is asked less and less often.
func (p *Pool) Finish(now time.Time, name string, failed bool) {
	for _, a := range p.advisors {
		switch {
		case a.name != name:
		case failed:
			a.busyUntil = now.Add(min(shortestPause<<a.failures, longestPause))
			a.failures = min(a.failures+1, mostFailures)
		default:
			a.busyUntil, a.failures = time.Time{}, 0
		}
	}
}
