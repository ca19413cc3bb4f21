package server

import (
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/router"
)

// homeAssigner derives the homes of idempotency keys from the assignment of the zone. The home of a key is the only
// instance that may admit a request with it to a run.
type homeAssigner struct {
	homes *router.Homes
	zone  describer.AvailabilityZoneID
	zones []describer.AvailabilityZoneID

	mu   sync.Mutex
	self assigner.Owner
}

// assign applies an assignment of the zone. A new incarnation starts as the home of no key, because its records lack the
// requests that ran while it was removed from the assignment.
func (h *homeAssigner) assign(now time.Time, self assigner.Owner, assignment assigner.Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]describer.InstanceID, len(assignment.Positions))
	for position, owner := range assignment.Positions {
		instances[position] = owner.Instance
	}
	if self != h.self {
		h.self = self
		h.homes.Assign(now, router.Assignment{Positions: instances})
	}
	held := heldPositions(self, assignment)
	if len(held) == 0 {
		h.homes.Assign(now, router.Assignment{Positions: instances})
		return
	}
	h.homes.Assign(now, router.Assignment{
		Positions: instances,
		Placements: []deduplicator.Placement{{
			Zones: h.zones, Zone: h.zone, Positions: len(instances), Held: held,
		}},
	})
}

// heldPositions returns the positions of an owner for which no other holder may still start work. A holder that was
// stopped may still have requests in progress; their keys were issued before the takeover, so a retry of them gets the
// error OutcomeUnknown.
func heldPositions(self assigner.Owner, assignment assigner.Assignment) []int {
	var held []int
	for position, owner := range assignment.Positions {
		handedOver := !slices.ContainsFunc(assignment.Previous, func(holding assigner.Holding) bool {
			return holding.Position == position && holding.Owner != self && !holding.Stopped
		})
		if owner == self && handedOver {
			held = append(held, position)
		}
	}
	return held
}
