package picker

import "egretring.example/egretring/describer"

// Busy is the number of slots of a backend server that the attempts of this instance occupy.
type Busy struct {
	BackendServer describer.BackendServerID
	Slots         int
}

// Busy returns the servers on which attempts of this instance run.
func (p *Picker) Busy() []Busy {
	var busy []Busy
	for _, s := range p.order {
		if s.inUse > 0 {
			busy = append(busy, Busy{BackendServer: s.id, Slots: s.inUse})
		}
	}
	return busy
}
