package picker

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
)

// Picker knows the owned shares and the health of the backend servers. It is not safe for concurrent use.
type Picker struct {
	rule     Rule
	ejecting bool
	seed     uint64
	random   *rand.Rand

	servers map[describer.BackendServerID]*server
	// order holds the same servers; a map's order would make choices depend on more than the seed.
	order    []*server
	index    index
	timers   timerHeap
	free     int
	capacity int
	out      int
	eligible int
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

// Capacity returns the number of attempts that may run at once on the servers that take new work.
func (p *Picker) Capacity() int {
	return p.capacity
}

// Ejected returns the number of servers that are ejected or being probed.
func (p *Picker) Ejected() int {
	return p.out
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
			p.hold(now, s)
		}
	}
	for _, s := range p.order {
		// A server that was gone has restarted when it is listed again.
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

// MarkLeaving stops new work on a server that announced its leaving before the instance list shows it.
func (p *Picker) MarkLeaving(now time.Time, id describer.BackendServerID) {
	s, known := p.servers[id]
	if !known {
		return
	}
	p.hold(now, s)
	p.update(s)
	p.limitEjected()
}

// hold keeps new work from a leaving server, also when a later list calls it live: lists may come out of order.
func (p *Picker) hold(now time.Time, s *server) {
	if s.leavingUntil.IsZero() {
		s.holdTimer = now.Add(leavingHold)
		heap.Push(&p.timers, timer{s.holdTimer, s})
	}
	s.leavingUntil = now.Add(leavingHold)
}

// endHold ends the hold of a leaving server, or waits on if it has been extended.
func (p *Picker) endHold(now time.Time, s *server) {
	if now.Before(s.leavingUntil) {
		s.holdTimer = s.leavingUntil
		heap.Push(&p.timers, timer{s.holdTimer, s})
		return
	}
	s.leavingUntil = time.Time{}
}

// Advance ends the ejections and holds that are due. It must be called before Pick.
func (p *Picker) Advance(now time.Time) {
	for len(p.timers) > 0 && !now.Before(p.timers[0].at) {
		due := heap.Pop(&p.timers).(timer)
		s := due.server
		if due.at.Equal(s.holdTimer) && !s.leavingUntil.IsZero() {
			p.endHold(now, s)
		}
		if s.health == ejected && !now.Before(s.ejectedUntil) {
			s.health = probing
			s.successes = 0
			s.probes = 0
		}
		p.update(s)
	}
}

// NextDeadline returns the time at which Advance has something to do.
func (p *Picker) NextDeadline() (time.Time, bool) {
	if len(p.timers) == 0 {
		return time.Time{}, false
	}
	return p.timers[0].at, true
}

func (p *Picker) server(id describer.BackendServerID) *server {
	s, known := p.servers[id]
	if !known {
		s = &server{id: id, level: notPlaced}
		p.servers[id] = s
		p.order = append(p.order, s)
	}
	return s
}

func (p *Picker) rebuild() {
	kept := p.order[:0]
	for _, s := range p.order {
		p.update(s)
		if s.forgotten() {
			delete(p.servers, s.id)
			continue
		}
		kept = append(kept, s)
	}
	clear(p.order[len(kept):])
	p.order = kept
	p.limitEjected()
}

// update brings the index and the sums in line with a server's state.
func (p *Picker) update(s *server) {
	p.index.move(s, s.wantedLevel())
	free, limit, in, out := s.free(), s.limit(), 0, 0
	if s.eligible() {
		in = 1
		if s.health != healthy {
			out = 1
		}
	}
	p.free += free - s.countedFree
	p.capacity += limit - s.countedLimit
	p.eligible += in - s.countedIn
	p.out += out - s.countedOut
	s.countedFree, s.countedLimit, s.countedIn, s.countedOut = free, limit, in, out
}
