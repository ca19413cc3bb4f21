package placer

import (
	"maps"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// strainedCoresPercent and strainedMemoryPercent are the real use, of the capacity, at which tasks are throttled
	// or evicted. Memory has the wider margin to capacity because running out of it kills tasks at once.
	strainedCoresPercent  = 95
	strainedMemoryPercent = 90
	// settleTime is how long after an action its effect is expected in a sample.
	settleTime = 2 * time.Second
)

// observe learns from a usage report and acts when the real use is near the capacity.
func (p *Placer) observe(now time.Time, e UsageReported) {
	number, known := p.numbers[e.Server]
	if !known {
		return
	}
	s := p.servers[number]
	total := describer.Resources{}
	for _, usage := range e.Tasks {
		total = total.Plus(usage.Used)
		place := p.placementOf(usage.Task)
		if place == nil || place.server != number || place.waiting {
			continue
		}
		place.job.observe(usage.Used, p.largest)
		place.used = usage.Used
		p.resize(s, place)
	}
	p.serveWaiting(now, s)
	p.relieve(now, s, total, e.SampledAt)
}

// resize changes the room that is kept for a running task to the learned need, or to its own use or the room told at its
// start when that is more.
func (p *Placer) resize(s *server, place *placement) {
	need := place.job.need
	used := describer.Resources{MilliCores: place.used.MilliCores, MemoryBytes: place.used.MemoryBytes}
	need = larger(larger(need, used), place.told)
	if need == place.need {
		return
	}
	s.change(place, func() { place.need = need })
	p.dirty = true
}

// relieve acts on a high real use, one action for each report, and waits until the samples show its effect. Tasks are
// throttled first when processors are short; throttling frees no memory.
func (p *Placer) relieve(now time.Time, s *server, total describer.Resources, sampledAt time.Time) {
	shortOfMemory := total.MemoryBytes*100 > s.Capacity.MemoryBytes*strainedMemoryPercent
	shortOfCores := total.MilliCores*100 > s.Capacity.MilliCores*strainedCoresPercent
	if !shortOfMemory && !shortOfCores || sampledAt.Before(s.strainedAt.Add(settleTime)) {
		return
	}
	victim := p.strainVictim(now, s, func(place *placement) bool { return shortOfMemory || !place.throttled })
	if victim == nil {
		victim = p.strainVictim(now, s, func(*placement) bool { return true })
	}
	if victim == nil {
		return
	}
	s.strainedAt = now
	if !shortOfMemory && !victim.throttled {
		victim.throttled = true
		p.emit(ThrottleTask{Task: victim.task, Server: s.ID})
		return
	}
	// The only task of a backend server would meet the same shortage elsewhere.
	if len(s.placements) > 1 {
		p.evict(victim, ServerStrained)
	}
}

// strainVictim returns the task that gives way: the lowest class, services last, the least work at risk.
func (p *Placer) strainVictim(now time.Time, s *server, allowed func(*placement) bool) *placement {
	var best *placement
	for _, place := range s.placements {
		if place.waiting || place.leaving || !allowed(place) {
			continue
		}
		if best == nil || p.givesWayBefore(now, place, best) {
			best = place
		}
	}
	return best
}

func (p *Placer) givesWayBefore(now time.Time, a, b *placement) bool {
	if a.job.description.Class != b.job.description.Class {
		return a.job.description.Class > b.job.description.Class
	}
	aService := a.job.description.Policy == describer.ServiceJob
	bService := b.job.description.Policy == describer.ServiceJob
	if aService != bService {
		return bService
	}
	return p.costOf(now, a) < p.costOf(now, b)
}

func sortedIndices(placements map[int]*placement) []int {
	return slices.Sorted(maps.Keys(placements))
}
