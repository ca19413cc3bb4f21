package measurer

import (
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
)

func (c *requestCell) scheduleFault() {
	switch c.load.fault {
	case slowStore:
		c.after(faultFrom, func() { c.instances[1].die() })
	case zoneLost:
		c.after(faultFrom, c.loseZone)
	case serversFail:
		c.failServer(c.shape.serversOf(0)[0], fakebackend.Faults{Mode: fakebackend.FailsFast})
		c.failServer(c.shape.serversOf(1)[0], fakebackend.Faults{Mode: fakebackend.Slow, Factor: hungFactor})
	}
}

// loseZone ends the instances of the first zone; its backend servers serve nobody else.
func (c *requestCell) loseZone() {
	for _, i := range c.instances {
		if i.zone == 0 {
			i.die()
		}
	}
}

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
