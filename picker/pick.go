package picker

import "egretring.example/egretring/describer"

// Share is what may be used of one backend server.
type Share struct {
	BackendServer describer.BackendServerID
	Slots         int
	Connections   int
}

// Wish says what matters for the choice of a server.
type Wish struct {
	// MayProbe allows the choice of a server that is being probed although others are free.
	MayProbe bool
	// Avoid is the server of the previous attempt; it is chosen only when no other one is free.
	Avoid describer.BackendServerID
}

// Pick chooses a server with a free owned slot and takes the slot.
func (p *Picker) Pick(wish Wish) (describer.BackendServerID, bool) {
	if len(p.index.usable) == 0 {
		return "", false
	}
	s := p.choose(wish)
	s.take()
	p.update(s)
	return s.id, true
}

func (p *Picker) choose(wish Wish) *server {
	probes := p.index.levels[probeLevel]
	if wish.MayProbe && len(probes) > 0 {
		return probes[0]
	}
	switch p.rule {
	case TwoChoices:
		return p.twoChoices(wish)
	case Random:
		return p.anyUsable()
	case RoundRobin:
		p.index.turn++
		return p.index.usable[p.index.turn%len(p.index.usable)]
	default:
		return p.leastLoaded(wish)
	}
}

func (p *Picker) leastLoaded(wish Wish) *server {
	level, filled := p.index.lowest(0)
	var last *server
	for filled {
		last = p.anyOf(p.index.levels[level], wish.Avoid)
		if last.id != wish.Avoid {
			return last
		}
		level, filled = p.index.lowest(level + 1)
	}
	return p.servers[wish.Avoid]
}

func (p *Picker) twoChoices(wish Wish) *server {
	first, second := p.anyUsable(), p.anyUsable()
	if first.id == wish.Avoid {
		return second
	}
	if second.id == wish.Avoid || first.level <= second.level {
		return first
	}
	return second
}

func (p *Picker) anyUsable() *server {
	return p.index.usable[p.random.IntN(len(p.index.usable))]
}

// anyOf returns a random server, another than the avoided one if there is one.
func (p *Picker) anyOf(servers []*server, avoid describer.BackendServerID) *server {
	i := p.random.IntN(len(servers))
	if servers[i].id == avoid {
		i = (i + 1) % len(servers)
	}
	return servers[i]
}
