package picker

import "egretring.example/egretring/describer"

// State is the state of one backend server as recorded by this instance.
type State struct {
	BackendServer describer.BackendServerID
	// Slots is the share of this instance; InUse is how many of its slots are occupied.
	Slots int
	InUse int
	// Held is the part of InUse whose attempts have ended although the server may still run them.
	Held int
	// Ejected is true while the server gets no work or only probes because of its failures.
	Ejected bool
	// Failures counts the failures in a row.
	Failures int
	// Leaving is true while an announcement that the server is leaving is in effect.
	Leaving bool
}

// States returns the states of all servers in the order in which they became known.
func (p *Picker) States() []State {
	states := make([]State, 0, len(p.order))
	for _, s := range p.order {
		states = append(states, State{
			BackendServer: s.id, Slots: s.share, InUse: s.inUse, Held: s.held,
			Ejected: s.health != healthy, Failures: s.failures, Leaving: !s.leavingUntil.IsZero(),
		})
	}
	return states
}
