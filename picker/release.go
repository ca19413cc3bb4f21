package picker

import (
	"container/heap"
	"time"

	"egretring.example/egretring/describer"
)

// Release frees the slot of an ended attempt and learns from its evidence.
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
		// The end was egretring's own doing and says nothing about the server.
	default:
		if s.recordFailure() {
			p.eject(now, s)
		}
	}
	p.update(s)
	if s.forgotten() {
		p.forget(s)
	}
}

func (p *Picker) eject(now time.Time, s *server) {
	if !p.ejecting || s.health == ejected || !s.eligible() {
		return
	}
	if s.health == healthy && (p.out+1)*ejectedPart > p.eligible {
		return
	}
	s.health = ejected
	s.ejectedUntil = now.Add(p.jittered(s.ejectionTime()))
	s.ejections++
	heap.Push(&p.timers, timer{s.ejectedUntil, s})
}

// jittered spreads the end of ejections that began together.
func (p *Picker) jittered(duration time.Duration) time.Duration {
	return duration + time.Duration(p.random.Int64N(int64(duration/4)))
}

// limitEjected returns servers to use when too many of the remaining ones are ejected.
func (p *Picker) limitEjected() {
	if p.out*ejectedPart <= p.eligible {
		return
	}
	for _, s := range p.order {
		if p.out*ejectedPart <= p.eligible {
			return
		}
		if s.health != healthy && s.eligible() {
			s.health = healthy
			p.update(s)
		}
	}
}

func (p *Picker) forget(s *server) {
	delete(p.servers, s.id)
	for i := range p.order {
		if p.order[i] == s {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}
