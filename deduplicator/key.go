package deduplicator

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

const (
	// maxKeyBytes limits the length of a key and so the memory of a record.
	maxKeyBytes   = 255
	zoneSeparator = ":"

	uuidTextBytes = 36
	uuidVersion7  = 7
	// maxAttempt is the largest accepted value of the header Egretring-Attempt.
	maxAttempt = 1_000_000
)

// AttemptUnknown is the attempt of a request without the header Egretring-Attempt.
const AttemptUnknown = 0

// Key is a parsed idempotency key. The text alone identifies it.
type Key struct {
	text string
	zone describer.AvailabilityZoneID
	// issuedAt is zero when the key carries no issue time.
	issuedAt time.Time
}

// ParseKey checks the value of an Idempotency-Key header.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > maxKeyBytes {
		return Key{}, classifier.New(classifier.BadRequest, "idempotency key has %d bytes; 1 to %d are allowed", len(text), maxKeyBytes)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return Key{}, classifier.New(classifier.BadRequest, "idempotency key has byte %#x; only visible ASCII is allowed", text[i])
		}
	}
	key := Key{text: text}
	withoutZone := text
	if zone, after, found := strings.Cut(text, zoneSeparator); found {
		key.zone, withoutZone = describer.AvailabilityZoneID(zone), after
	}
	key.issuedAt = issueTime(withoutZone)
	return key, nil
}

// String returns the text of the key.
func (k Key) String() string {
	return k.text
}

// IssuedAt returns the issue time that a UUIDv7 carries; it is zero for any other key.
func (k Key) IssuedAt() time.Time {
	return k.issuedAt
}

// issueTime returns the time of a UUIDv7 in its canonical form (RFC 9562, section 5.7), and zero for any other text.
func issueTime(text string) time.Time {
	if len(text) != uuidTextBytes || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return time.Time{}
	}
	digits := text[0:8] + text[9:13] + text[14:18] + text[19:23] + text[24:]
	bytes, err := hex.DecodeString(digits)
	if err != nil || bytes[6]>>4 != uuidVersion7 || bytes[8]>>6 != 0b10 {
		return time.Time{}
	}
	var milliseconds int64
	for _, b := range bytes[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds)
}

// ParseAttempt checks the value of an Egretring-Attempt header. An absent header is AttemptUnknown.
func ParseAttempt(text string) (int, error) {
	if text == "" {
		return AttemptUnknown, nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 || attempt > maxAttempt || strconv.Itoa(attempt) != text {
		return AttemptUnknown, classifier.New(classifier.BadRequest, "attempt %q is not a number from 1 to %d", text, maxAttempt)
	}
	return attempt, nil
}
