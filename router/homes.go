package router

import (
	"sync"
	"time"

	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
)

// Assignment is the part of the zone's assignment that determines the homes of idempotency keys.
type Assignment struct {
	// Placements holds the placements before and after an open transition. This instance is the home of a key by all of
	// them or not at all. They are empty while it must not act as the home of any key.
	Placements []deduplicator.Placement
	// Positions names the instance at each position.
	Positions []describer.InstanceID
}

// ZonePeer chooses a live entry instance of another zone.
type ZonePeer func(zone describer.AvailabilityZoneID) (describer.InstanceID, bool)

// Homes locates the homes of idempotency keys and holds the records of the keys whose home is this instance. It is safe
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
	h.records.SetPlacements(now, assignment.Placements...)
	h.positions = assignment.Positions
}

// isLocal reports whether this instance is the home of a key.
func (h *Homes) isLocal(key deduplicator.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records.IsHome(key)
}

// relayTarget returns the instance to which a request with a key is relayed: the home itself when it is in the zone of
// this instance, else any live instance of the home zone. It returns false when there is none or when the assignment
// names this instance.
func (h *Homes) relayTarget(key deduplicator.Key) (describer.InstanceID, bool) {
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
