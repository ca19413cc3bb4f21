package matcher

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// peakInterval is the time of which a Reserve keeps the largest use, and peakIntervals how many of these times count. Together they are
	// ten seconds, in which the users' urgent jobs (0.54 s) use what they need in a burst about 20 times over.
	peakInterval  = time.Second
	peakIntervals = 10
)

// Reserve determines how much capacity of fast servers is kept for urgent steps: as much as they used at their recent peak and have
// waiting.
type Reserve struct {
	peaks   [peakIntervals]specifier.Resources
	current int
	endsAt  time.Time
	waiting specifier.Resources
}

// Observe records what urgent steps use now and have waiting.
func (r *Reserve) Observe(now time.Time, used, waiting specifier.Resources) {
	if r.endsAt.IsZero() || now.Sub(r.endsAt) > peakInterval*peakIntervals {
		*r = Reserve{endsAt: now.Add(peakInterval)}
	}
	for !now.Before(r.endsAt) {
		r.endsAt = r.endsAt.Add(peakInterval)
		r.current = (r.current + 1) % peakIntervals
		r.peaks[r.current] = specifier.Resources{}
	}
	r.peaks[r.current] = r.peaks[r.current].Max(used)
	r.waiting = waiting
}

// Amount returns the capacity to keep.
func (r *Reserve) Amount() specifier.Resources {
	var peak specifier.Resources
	for _, used := range r.peaks {
		peak = peak.Max(used)
	}
	return peak.Plus(r.waiting)
}

// Candidate is a fast server that may be reserved.
type Candidate struct {
	Server   specifier.ServerID
	Capacity specifier.Resources
	// Others is what steps that are not urgent use on the server.
	Others specifier.Resources
	// Reserved is set if the server is reserved already.
	Reserved bool
}

// Choose returns the servers to reserve for an amount, at most one server more than that. Reserved servers stay reserved as long
// as the amount requires it, because the runs of other steps on a newly reserved one have to end first. Those with the least
// use by others come next.
func Choose(candidates []Candidate, amount specifier.Resources) []specifier.ServerID {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if a.Reserved != b.Reserved {
			if a.Reserved {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Others.MilliCores, b.Others.MilliCores), cmp.Compare(a.Server, b.Server))
	})
	var chosen []specifier.ServerID
	var sum specifier.Resources
	for _, c := range candidates {
		if amount.Fits(sum) {
			break
		}
		sum = sum.Plus(c.Capacity)
		chosen = append(chosen, c.Server)
	}
	return chosen
}
