package generator

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// shareOfZoneKeys is the share of keys that carry their home zone and their issue time, and shareOfTimedKeys that
	// of keys that carry only their issue time. The remaining keys carry neither.
	shareOfZoneKeys  = 0.7
	shareOfTimedKeys = 0.2
)

// key returns a new idempotency key, whose home is the given zone if the key names one.
func (g *Generator) key(zone describer.AvailabilityZoneID) string {
	style := g.keys.Float64()
	high, low := g.keys.Uint64(), g.keys.Uint64()
	switch {
	case g.start.IsZero() || style >= shareOfZoneKeys+shareOfTimedKeys:
		return fmt.Sprintf("%016x%016x", high, low)
	case style < shareOfZoneKeys:
		return string(zone) + ":" + uuidV7(g.start.Add(g.offset), high, low)
	default:
		return uuidV7(g.start.Add(g.offset), high, low)
	}
}

// uuidV7 returns a version 7 UUID, which begins with a time in milliseconds (RFC 9562, section 5.7).
func uuidV7(at time.Time, high, low uint64) string {
	const (
		version7   = 0x7000
		variant    = 0x8000_0000_0000_0000
		randomHigh = 0x0fff
		randomLow  = 0x3fff_ffff_ffff_ffff
	)
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:8], uint64(at.UnixMilli())<<16|version7|high&randomHigh)
	binary.BigEndian.PutUint64(bytes[8:], variant|low&randomLow)
	text := hex.EncodeToString(bytes[:])
	return fmt.Sprintf("%s-%s-%s-%s-%s", text[:8], text[8:12], text[12:16], text[16:20], text[20:])
}
