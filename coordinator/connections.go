package coordinator

import "egretring.example/egretring/limiter"

// serverLimits returns the limits for connections to the servers of a service, from the newest configuration.
func (c *Coordinator) serverLimits(service string) limiter.Limits {
	configuration := c.configuration.Load()
	if configuration == nil {
		return limiter.LimitsOf(0)
	}
	return limiter.LimitsOf(configuration.MaxConnections[service])
}

// closeConnections closes the connections of the term. Connections that were abandoned may still be open at their servers, and count like
// those of a lost owner.
func (o *owner) closeConnections() {
	if o.connections.Tally().Abandoned > 0 {
		o.elector.NoteLoss(o.ownership.Epoch)
	}
	o.connections.Close()
}
