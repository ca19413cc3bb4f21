package measurer

import (
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
)

// scheduleFault schedules the fault of the load.
func (c *requestCell) scheduleFault() {
	switch c.load.fault {
	case slowStore:
		c.after(faultFrom, func() { c.instances[1].fail() })
	case zoneLost:
		c.after(faultFrom, c.loseZone)
	case serversFail:
		c.failServer(c.topology.serversOf(0)[0], fakebackend.Faults{Mode: fakebackend.FailsFast})
		c.failServer(c.topology.serversOf(1)[0], fakebackend.Faults{Mode: fakebackend.Slow, Factor: hungFactor})
	}
}

// loseZone fails the instances of the first zone. No other instance owns slots of its backend servers, so these get no
// more requests.
func (c *requestCell) loseZone() {
	for _, i := range c.instances {
		if i.zone == 0 {
			i.fail()
		}
	}
}

// failServer injects faults into a backend server from faultFrom to faultUntil.
func (c *requestCell) failServer(id describer.BackendServerID, faults fakebackend.Faults) {
	c.after(faultFrom, func() { c.servers[id].SetFaults(c.now, faults) })
	c.after(faultUntil, func() { c.servers[id].SetFaults(c.now, fakebackend.Faults{}) })
}

func (c *requestCell) instance(id describer.InstanceID) *entryInstance {
	for _, i := range c.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}
