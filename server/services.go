package server

import (
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// configuration provides the state in force.
type configuration interface {
	State() (ticketer.State, error)
}

// services looks up services, also by the name of a route, in the configuration in force.
type services struct {
	configuration configuration
}

// Service implements router.Services.
func (s services) Service(id describer.ServiceID) (describer.Service, error) {
	state, err := s.configuration.State()
	if err != nil {
		return describer.Service{}, err
	}
	service, ok := state.Service(id)
	if route, routed := state.Route(ticketer.RouteID(id)); routed && !ok {
		service, ok = state.Service(route.Service)
	}
	if !ok {
		return describer.Service{}, classifier.New(classifier.UnknownService, "service %q is not configured", id)
	}
	return service, nil
}
