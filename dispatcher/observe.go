package dispatcher

import (
	"cmp"
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/picker"
)

// ServiceLoad is the load of one service.
type ServiceLoad struct {
	Service describer.ServiceID
	// InProgress counts the requests that are running or relayed.
	InProgress int
	Queued     [describer.ClassCount]int
}

// ServiceLoads returns the loads of the services that have requests, ordered by service. It iterates over all requests.
func (d *Dispatcher) ServiceLoads() []ServiceLoad {
	byService := make(map[describer.ServiceID]ServiceLoad)
	for _, e := range d.requests {
		load := byService[e.request.Service]
		load.Service = e.request.Service
		if e.inFlight() {
			load.InProgress++
		} else {
			load.Queued[e.request.Class]++
		}
		byService[load.Service] = load
	}
	loads := make([]ServiceLoad, 0, len(byService))
	for _, load := range byService {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(x, y ServiceLoad) int { return cmp.Compare(x.Service, y.Service) })
	return loads
}

// Servers returns the states of the known backend servers.
func (d *Dispatcher) Servers() []picker.State {
	return d.picker.States()
}
