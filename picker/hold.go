package picker

import "egretring.example/egretring/describer"

// HoldSlot keeps one slot of a server in use after the end of its attempt, because the server may still be running it.
func (p *Picker) HoldSlot(id describer.BackendServerID) {
	if s, known := p.servers[id]; known {
		s.inUse++
		s.held++
		p.update(s)
	}
}

// FreeHeldSlots frees the held slots of a server.
func (p *Picker) FreeHeldSlots(id describer.BackendServerID) {
	s, known := p.servers[id]
	if !known || s.held == 0 {
		return
	}
	s.inUse -= s.held
	s.held = 0
	p.update(s)
	if s.removable() {
		p.remove(s)
	}
}
