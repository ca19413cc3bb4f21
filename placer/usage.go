package placer

import (
	"maps"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// overloadCoresPercent and overloadMemoryPercent are the measured use, in percent of the capacity, above which
	// tasks are throttled or evicted. Memory has the wider margin to capacity because running out of it kills tasks
	// immediately.
	overloadCoresPercent  = 95
	overloadMemoryPercent = 90
	// settleTime is how long after throttling or eviction the effect is expected to show in a sample.
	settleTime = 2 * time.Second
)

// observe updates the learned needs from a usage report, and throttles or evicts a task if the measured use is near the
// capacity.
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
	p.placeWaiting(now, s)
	p.relieveOverload(now, s, total, e.SampledAt)
}

// resize changes the allocation of a running task to the largest of the learned need, its own measured use, and the
// resources sent with its start.
func (p *Placer) resize(s *server, place *placement) {
	need := place.job.need
	used := describer.Resources{MilliCores: place.used.MilliCores, MemoryBytes: place.used.MemoryBytes}
	need = larger(larger(need, used), place.startResources)
	if need == place.need {
		return
	}
	s.change(place, func() { place.need = need })
	p.dirty = true
}

// relieveOverload throttles or evicts a task if the measured use is high. It takes one action per report and then waits
// until the samples show its effect. If only processors are short, tasks are throttled before any is evicted;
// throttling frees no memory.
func (p *Placer) relieveOverload(now time.Time, s *server, total describer.Resources, sampledAt time.Time) {
	shortOfMemory := total.MemoryBytes*100 > s.Capacity.MemoryBytes*overloadMemoryPercent
	shortOfCores := total.MilliCores*100 > s.Capacity.MilliCores*overloadCoresPercent
	if !shortOfMemory && !shortOfCores || sampledAt.Before(s.overloadActionAt.Add(settleTime)) {
		return
	}
	victim := p.overloadVictim(now, s, func(place *placement) bool { return shortOfMemory || !place.throttled })
	if victim == nil {
		victim = p.overloadVictim(now, s, func(*placement) bool { return true })
	}
	if victim == nil {
		return
	}
	s.overloadActionAt = now
	if !shortOfMemory && !victim.throttled {
		victim.throttled = true
		p.emit(ThrottleTask{Task: victim.task, Server: s.ID})
		return
	}
	// The only task of a backend server is not evicted, because it would meet the same shortage elsewhere.
	if len(s.placements) > 1 {
		p.evict(victim, ServerOverloaded)
	}
}

// overloadVictim returns the task to throttle or evict: the lowest class first, services last within a class, then the
// least work at risk.
func (p *Placer) overloadVictim(now time.Time, s *server, allowed func(*placement) bool) *placement {
	var best *placement
	for _, place := range s.placements {
		if place.waiting || place.leaving || !allowed(place) {
			continue
		}
		if best == nil || p.isBetterVictim(now, place, best) {
			best = place
		}
	}
	return best
}

func (p *Placer) isBetterVictim(now time.Time, a, b *placement) bool {
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
