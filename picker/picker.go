package picker

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
)

// Picker tracks the owned shares and the health of the backend servers. It is not safe for concurrent use.
type Picker struct {
	rule     Rule
	ejecting bool
	seed     uint64
	random   *rand.Rand

	servers map[describer.BackendServerID]*server
	// order holds the same servers in the order in which they became known, because the iteration order of a map would
	// make choices depend on more than the seed.
	order         []*server
	index         index
	timers        timerHeap
	free          int
	capacity      int
	ejectedCount  int
	eligibleCount int
}

// New returns a picker without servers.
func New(opts ...Option) *Picker {
	p := &Picker{ejecting: true, seed: 1, servers: make(map[describer.BackendServerID]*server)}
	for _, opt := range opts {
		opt(p)
	}
	p.random = rand.New(rand.NewPCG(p.seed, 0))
	return p
}

// Free returns the number of attempts that may be started now.
func (p *Picker) Free() int {
	return p.free
}

// Capacity returns the number of attempts that may run at the same time on the servers that accept new work.
func (p *Picker) Capacity() int {
	return p.capacity
}

// Ejected returns the number of servers that are ejected or being probed.
func (p *Picker) Ejected() int {
	return p.ejectedCount
}

// SetServers replaces the known servers; only live ones get work.
func (p *Picker) SetServers(now time.Time, servers []describer.BackendServer) {
	for _, s := range p.order {
		s.listed, s.live = false, false
	}
	for _, described := range servers {
		s := p.server(described.ID)
		s.listed = described.State != describer.Gone
		s.live = described.State == describer.Live
		if described.State == describer.Leaving {
			p.suspendLeaving(now, s)
		}
	}
	for _, s := range p.order {
		// The announcement of a server that is no longer listed is dropped: if it is listed again, it has restarted.
		if !s.listed || !now.Before(s.leavingUntil) {
			s.leavingUntil = time.Time{}
		}
	}
	p.rebuild()
}

// SetShares replaces the owned shares. An attempt uses one slot and one connection, so the lower number counts.
func (p *Picker) SetShares(shares []Share) {
	for _, s := range p.order {
		s.share = 0
	}
	for _, share := range shares {
		p.server(share.BackendServer).share = max(0, min(share.Slots, share.Connections))
	}
	p.rebuild()
}

// MarkLeaving stops new work on a server that announced that it is leaving, before the instance list shows it.
func (p *Picker) MarkLeaving(now time.Time, id describer.BackendServerID) {
	s, known := p.servers[id]
	if !known {
		return
	}
	p.suspendLeaving(now, s)
	p.update(s)
	p.limitEjected()
}

// suspendLeaving gives a leaving server no new work during leavingTimeout, even if a later list shows it as live,
// because lists may arrive out of order.
func (p *Picker) suspendLeaving(now time.Time, s *server) {
	if s.leavingUntil.IsZero() {
		s.leavingTimer = now.Add(leavingTimeout)
		heap.Push(&p.timers, timer{s.leavingTimer, s})
	}
	s.leavingUntil = now.Add(leavingTimeout)
}

// endLeaving ends the suspension of a leaving server, or sets a new timer if the suspension has been extended.
func (p *Picker) endLeaving(now time.Time, s *server) {
	if now.Before(s.leavingUntil) {
		s.leavingTimer = s.leavingUntil
		heap.Push(&p.timers, timer{s.leavingTimer, s})
		return
	}
	s.leavingUntil = time.Time{}
}

// Advance ends the ejections and the suspensions of leaving servers that are due. It must be called before Pick.
func (p *Picker) Advance(now time.Time) {
	for len(p.timers) > 0 && !now.Before(p.timers[0].at) {
		due := heap.Pop(&p.timers).(timer)
		s := due.server
		if due.at.Equal(s.leavingTimer) && !s.leavingUntil.IsZero() {
			p.endLeaving(now, s)
		}
		if s.health == ejected && !now.Before(s.ejectedUntil) {
			s.health = probing
			s.successes = 0
			s.probes = 0
		}
		p.update(s)
	}
}

// NextDeadline returns the time at which Advance must be called next, and false if there is none.
func (p *Picker) NextDeadline() (time.Time, bool) {
	if len(p.timers) == 0 {
		return time.Time{}, false
	}
	return p.timers[0].at, true
}

func (p *Picker) server(id describer.BackendServerID) *server {
	s, known := p.servers[id]
	if !known {
		s = &server{id: id, level: noLevel}
		p.servers[id] = s
		p.order = append(p.order, s)
	}
	return s
}

func (p *Picker) rebuild() {
	kept := p.order[:0]
	for _, s := range p.order {
		p.update(s)
		if s.removable() {
			delete(p.servers, s.id)
			continue
		}
		kept = append(kept, s)
	}
	clear(p.order[len(kept):])
	p.order = kept
	p.limitEjected()
}

// update updates the index and the sums after a change of a server's state.
func (p *Picker) update(s *server) {
	p.index.move(s, s.wantedLevel())
	free, limit, countEligible, countEjected := s.free(), s.limit(), 0, 0
	if s.eligible() {
		countEligible = 1
		if s.health != healthy {
			countEjected = 1
		}
	}
	p.free += free - s.countedFree
	p.capacity += limit - s.countedLimit
	p.eligibleCount += countEligible - s.countedEligible
	p.ejectedCount += countEjected - s.countedEjected
	s.countedFree, s.countedLimit, s.countedEligible, s.countedEjected = free, limit, countEligible, countEjected
}
