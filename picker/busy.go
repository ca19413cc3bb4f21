package picker

import "egretring.example/egretring/describer"

// BusyServer is the number of slots of a backend server that the attempts of this instance occupy.
type BusyServer struct {
	BackendServer describer.BackendServerID
	Slots         int
}

// BusyServers returns the servers on which attempts of this instance run.
func (p *Picker) BusyServers() []BusyServer {
	var busy []BusyServer
	for _, s := range p.order {
		if s.inUse > 0 {
			busy = append(busy, BusyServer{BackendServer: s.id, Slots: s.inUse})
		}
	}
	return busy
}
