package deduplicator

import (
	"hash/fnv"
	"io"
	"slices"
	"strconv"

	"egretring.example/egretring/describer"
)

// Placement maps keys to homes. It holds the configured zones and the positions of the zone's assignment.
type Placement struct {
	Zones []describer.AvailabilityZoneID
	// Zone is the zone of this instance.
	Zone describer.AvailabilityZoneID
	// Positions is the number of positions in the assignment of Zone.
	Positions int
	// Held lists the positions whose keys this instance may run, in ascending order.
	Held []int
}

// HomeZone returns the home zone of a key: the zone that it names, or else one chosen by rendezvous hashing.
// Without zones it returns an empty name.
func HomeZone(key Key, zones []describer.AvailabilityZoneID) describer.AvailabilityZoneID {
	var home describer.AvailabilityZoneID
	var highest uint64
	for _, zone := range zones {
		if zone == key.zone {
			return zone
		}
		// Equal weights are decided by name, so that the order of the zones does not matter.
		if weight := weight(key, string(zone)); home == "" || weight > highest || weight == highest && zone < home {
			home, highest = zone, weight
		}
	}
	return home
}

// HomePosition returns the position that is the home of a key in its home zone. It chooses a position and not an
// instance, so that the keys of a replaced instance move only to its replacement. Without positions it returns -1.
func HomePosition(key Key, positions int) int {
	home := -1
	var highest uint64
	for position := range positions {
		if weight := weight(key, strconv.Itoa(position)); home < 0 || weight > highest {
			home, highest = position, weight
		}
	}
	return home
}

func (p Placement) equal(other Placement) bool {
	return p.Zone == other.Zone && p.Positions == other.Positions &&
		slices.Equal(p.Held, other.Held) && slices.Equal(p.Zones, other.Zones)
}

// isHome reports whether this instance is the home of a key.
func (p Placement) isHome(key Key) bool {
	return slices.Contains(p.Held, HomePosition(key, p.Positions)) && HomeZone(key, p.Zones) == p.Zone
}

// weight returns the rendezvous weight of a candidate. All instances of a cell must compute the same weights, so a
// change here moves keys between instances of different versions.
func weight(key Key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key.text)
	_, _ = hash.Write([]byte{0})
	_, _ = io.WriteString(hash, candidate)
	return mix(hash.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits differ little between short candidates (the finalizer of
// SplitMix64).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
