package picker

import "egretring.example/egretring/describer"

// Share is the part of one backend server that may be used.
type Share struct {
	BackendServer describer.BackendServerID
	Slots         int
	Connections   int
}

// Preferences holds the preferences of one choice of a server.
type Preferences struct {
	// MayProbe allows the attempt to probe a server although other servers have free slots.
	MayProbe bool
	// Avoid is the server of the previous attempt. LeastLoaded chooses it only when no other server has a free slot,
	// and TwoChoices only when both of its random servers are this one. The other rules ignore it.
	Avoid describer.BackendServerID
}

// Pick chooses a server with a free owned slot and takes the slot.
func (p *Picker) Pick(preferences Preferences) (describer.BackendServerID, bool) {
	if len(p.index.usable) == 0 {
		return "", false
	}
	s := p.choose(preferences)
	s.take()
	p.update(s)
	return s.id, true
}

func (p *Picker) choose(preferences Preferences) *server {
	probes := p.index.levels[probeLevel]
	if preferences.MayProbe && len(probes) > 0 {
		return probes[0]
	}
	switch p.rule {
	case TwoChoices:
		return p.twoChoices(preferences)
	case Random:
		return p.anyUsable()
	case RoundRobin:
		p.index.roundRobinTurn++
		return p.index.usable[p.index.roundRobinTurn%len(p.index.usable)]
	default:
		return p.leastLoaded(preferences)
	}
}

func (p *Picker) leastLoaded(preferences Preferences) *server {
	level, filled := p.index.lowest(0)
	var last *server
	for filled {
		last = p.anyOf(p.index.levels[level], preferences.Avoid)
		if last.id != preferences.Avoid {
			return last
		}
		level, filled = p.index.lowest(level + 1)
	}
	return p.servers[preferences.Avoid]
}

func (p *Picker) twoChoices(preferences Preferences) *server {
	first, second := p.anyUsable(), p.anyUsable()
	if first.id == preferences.Avoid {
		return second
	}
	if second.id == preferences.Avoid || first.level <= second.level {
		return first
	}
	return second
}

func (p *Picker) anyUsable() *server {
	return p.index.usable[p.random.IntN(len(p.index.usable))]
}

// anyOf returns a random server, and the avoided one only if it is the only one.
func (p *Picker) anyOf(servers []*server, avoid describer.BackendServerID) *server {
	i := p.random.IntN(len(servers))
	if servers[i].id == avoid {
		i = (i + 1) % len(servers)
	}
	return servers[i]
}
