package matcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// peakInterval is the time of which a Reserve keeps the largest use, and peakIntervals how many of these times count. Together they are
	// ten seconds, in which the users' urgent jobs (0.54 s) use what they need in a burst about 20 times over.
	peakInterval  = time.Second
	peakIntervals = 10
	// meanTime is the time constant of the mean use, which is several times the run time of an urgent task.
	meanTime = 3 * time.Second
	// keptShare is the part of the mean use that is kept. With the whole peak, 7% of the capacity of the fast servers is idle, and in a
	// burst of 1.8 times the load 5% of the batch jobs more are late, while less than 0.2% of the urgent jobs more are in time: urgent steps
	// also take what becomes free on other fast servers first.
	keptShare = 0.7
	// headroom is how many times the mean use of urgent steps must be free on fast servers for gangs to take these first. With 2.5, more
	// gangs are in time (0.805 instead of 0.785 of them), but fewer urgent jobs (0.992 instead of 0.994).
	headroom = 4
)

// Reserve determines how much capacity of fast servers is kept for urgent steps: a share of what they used recently, and what they have
// waiting, but never more than they used at their recent peak and have waiting.
type Reserve struct {
	peaks   [peakIntervals]specifier.Resources
	current int
	endsAt  time.Time
	// mean is the mean of what urgent steps used recently.
	mean       specifier.Resources
	observedAt time.Time
	waiting    specifier.Resources
	// spare is set while gangs may take fast servers first.
	spare bool
}

// Observe records what urgent steps use now and have waiting.
func (r *Reserve) Observe(now time.Time, used, waiting specifier.Resources) {
	if r.endsAt.IsZero() || now.Sub(r.endsAt) > peakInterval*peakIntervals {
		*r = Reserve{endsAt: now.Add(peakInterval), mean: used, observedAt: now}
	}
	for !now.Before(r.endsAt) {
		r.endsAt = r.endsAt.Add(peakInterval)
		r.current = (r.current + 1) % peakIntervals
		r.peaks[r.current] = specifier.Resources{}
	}
	r.peaks[r.current] = r.peaks[r.current].Max(used)
	rate := 1 - math.Exp(-now.Sub(r.observedAt).Seconds()/meanTime.Seconds())
	r.mean = r.mean.Plus(scaled(used.Minus(r.mean), rate))
	r.observedAt, r.waiting = now, waiting
}

// ObserveFree records what is free on fast servers, reserved or not.
func (r *Reserve) ObserveFree(free specifier.Resources) {
	r.spare = scaled(r.mean, headroom).Fits(free)
}

// Spare reports whether gangs may take fast servers first: headroom times what urgent steps use on average is free there.
func (r *Reserve) Spare() bool {
	return r != nil && r.spare
}

// scaled returns a part of an amount.
func scaled(r specifier.Resources, part float64) specifier.Resources {
	return specifier.Resources{
		MilliCores: int64(float64(r.MilliCores) * part), MemoryMB: int64(float64(r.MemoryMB) * part),
		Accelerators: int64(float64(r.Accelerators) * part),
	}
}

// Amount returns the capacity to keep.
func (r *Reserve) Amount() specifier.Resources {
	var peak specifier.Resources
	for _, used := range r.peaks {
		peak = peak.Max(used)
	}
	return scaled(r.mean, keptShare).Min(peak).Plus(r.waiting)
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
