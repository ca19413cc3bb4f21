package placer

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// evictOverdue evicts tasks that occupy the reserved capacity after the start time of the reservation.
func (p *Placer) evictOverdue(now time.Time, r *reservation) {
	for _, s := range r.servers {
		missing := s.reserved.Minus(s.free())
		victims := p.victims(now, s, missing, func(place *placement) bool { return place.isEvictableFor(r.holder) })
		for _, place := range victims {
			p.evict(place, Preempted)
		}
	}
}

// victims chooses tasks on a backend server whose eviction frees the missing capacity: the lowest class first, and
// within a class those with the least work at risk. It returns nil if the allowed tasks do not suffice.
func (p *Placer) victims(
	now time.Time, s *server, missing describer.Resources, allowed func(*placement) bool,
) []*placement {
	if missing.Fits(describer.Resources{}) {
		return nil
	}
	var candidates []*placement
	for _, place := range s.placements {
		switch {
		case place.leaving:
			missing = missing.Minus(place.need)
		case allowed(place):
			candidates = append(candidates, place)
		}
	}
	slices.SortFunc(candidates, func(a, b *placement) int {
		if a.job.description.Class != b.job.description.Class {
			return int(b.job.description.Class - a.job.description.Class)
		}
		return cmp.Compare(p.costOf(now, a), p.costOf(now, b))
	})
	var chosen []*placement
	for _, place := range candidates {
		if missing.Fits(describer.Resources{}) {
			return chosen
		}
		if !reduces(place.need, missing) {
			continue
		}
		chosen = append(chosen, place)
		missing = missing.Minus(place.need)
	}
	if missing.Fits(describer.Resources{}) {
		return chosen
	}
	return nil
}

// reduces reports whether freeing the need reduces the missing capacity in at least one dimension.
func reduces(need, missing describer.Resources) bool {
	return missing.MilliCores > 0 && need.MilliCores > 0 ||
		missing.MemoryBytes > 0 && need.MemoryBytes > 0 ||
		missing.Accelerators > 0 && need.Accelerators > 0
}
