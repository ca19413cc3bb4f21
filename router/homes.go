package router

import (
	"sync"
	"time"

	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
)

// Assignment is what the homes of keys depend on in the zone of this instance.
type Assignment struct {
	// Placements are those before and after an open transition. They are empty while this instance has no right to
	// start work.
	Placements []deduplicator.Placement
	// Positions names the instance at each position.
	Positions []describer.InstanceID
}

// ZonePeer chooses a live entry instance of another zone.
type ZonePeer func(zone describer.AvailabilityZoneID) (describer.InstanceID, bool)

// Homes finds the home of idempotency keys and holds the records of the keys whose home is this instance. It is safe
// for concurrent use.
type Homes struct {
	self     describer.InstanceID
	zone     describer.AvailabilityZoneID
	zones    []describer.AvailabilityZoneID
	zonePeer ZonePeer

	mu        sync.Mutex
	records   *deduplicator.Deduplicator
	positions []describer.InstanceID
}

// NewHomes returns the homes of an instance that is not yet the home of any key.
func NewHomes(
	self describer.InstanceID, zone describer.AvailabilityZoneID, zones []describer.AvailabilityZoneID,
	records *deduplicator.Deduplicator, zonePeer ZonePeer,
) *Homes {
	return &Homes{self: self, zone: zone, zones: zones, records: records, zonePeer: zonePeer}
}

// Assign replaces the assignment.
func (h *Homes) Assign(now time.Time, assignment Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records.Place(now, assignment.Placements...)
	h.positions = assignment.Positions
}

// isLocal reports whether this instance is the home of a key.
func (h *Homes) isLocal(key deduplicator.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records.IsHome(key)
}

// next returns the instance to which a request with a key is relayed: the home in the own zone, or any instance of
// another home zone.
func (h *Homes) next(key deduplicator.Key) (describer.InstanceID, bool) {
	zone := deduplicator.HomeZone(key, h.zones)
	if zone != h.zone {
		return h.zonePeer(zone)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	position := deduplicator.HomePosition(key, len(h.positions))
	if position < 0 || h.positions[position] == h.self {
		return "", false
	}
	return h.positions[position], true
}

func (h *Homes) begin(key deduplicator.Key, attempt int) deduplicator.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records.Begin(time.Now(), key, attempt)
}

func (h *Homes) end(key deduplicator.Key, evidence describer.Evidence, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records.End(time.Now(), key, evidence, status)
}
