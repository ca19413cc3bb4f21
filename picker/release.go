package picker

import (
	"container/heap"
	"time"

	"egretring.example/egretring/describer"
)

// Release frees the slot of an ended attempt and updates the health of the server by its evidence.
func (p *Picker) Release(now time.Time, id describer.BackendServerID, evidence describer.Evidence) {
	s, known := p.servers[id]
	if !known || s.inUse == 0 {
		return
	}
	s.release()
	switch evidence {
	case describer.Answered:
		s.recordSuccess()
	case describer.Aborted:
		// egretring ended the attempt itself, which gives no evidence about the server.
	default:
		if s.recordFailure() {
			p.eject(now, s)
		}
	}
	p.update(s)
	if s.removable() {
		p.remove(s)
	}
}

func (p *Picker) eject(now time.Time, s *server) {
	if !p.ejecting || s.health == ejected || !s.eligible() {
		return
	}
	if s.health == healthy && (p.ejectedCount+1)*ejectedDivisor > p.eligibleCount {
		return
	}
	s.health = ejected
	s.ejectedUntil = now.Add(p.jittered(s.ejectionTime()))
	s.ejections++
	heap.Push(&p.timers, timer{s.ejectedUntil, s})
}

// jittered adds up to a quarter to a duration at random, so that ejections that began together do not end together.
func (p *Picker) jittered(duration time.Duration) time.Duration {
	return duration + time.Duration(p.random.Int64N(int64(duration/4)))
}

// limitEjected makes servers healthy again while too many of the eligible ones are ejected, for example after other
// servers have been removed.
func (p *Picker) limitEjected() {
	if p.ejectedCount*ejectedDivisor <= p.eligibleCount {
		return
	}
	for _, s := range p.order {
		if p.ejectedCount*ejectedDivisor <= p.eligibleCount {
			return
		}
		if s.health != healthy && s.eligible() {
			s.health = healthy
			p.update(s)
		}
	}
}

func (p *Picker) remove(s *server) {
	delete(p.servers, s.id)
	for i := range p.order {
		if p.order[i] == s {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}
