package dispatcher

import "egretring.example/egretring/picker"

// BusyServers returns the backend servers on which attempts of this instance run, with the slots that they occupy.
func (d *Dispatcher) BusyServers() []picker.BusyServer {
	return d.picker.BusyServers()
}
