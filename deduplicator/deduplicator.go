package deduplicator

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// Deduplicator records the keys that run or ran at one incarnation of an entry instance, so that each runs at most
// once. It is not safe for concurrent use.
type Deduplicator struct {
	window     time.Duration
	skew       time.Duration
	maxRecords int

	placementHistory placementHistory
	records          map[string]*record
	// ended holds the records whose run has ended, in the order in which they expire.
	ended []*record
}

// New returns a deduplicator without records that is the home of no key.
func New(opts ...Option) *Deduplicator {
	d := &Deduplicator{
		window:     defaultRetryWindow,
		skew:       defaultClockSkew,
		maxRecords: defaultMaxRecords,
		records:    make(map[string]*record),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetPlacements replaces the placements that apply. This instance is the home of a key when it is the home by all of
// them.
//
// While a transition is open, the caller passes the placements before and after it, so that a key never has two homes:
// the old home stops immediately, and the new home starts only when the transition is complete. The same applies to a
// change of the configured zones until it is in force everywhere.
//
// After another instance has taken over the position of this instance, the caller first passes no placements, even if
// this instance has already got a position again, because its records lack the keys that ran elsewhere in the meantime.
// The caller does not do so when this instance lost its right to start work for a time but no other instance took over,
// because no other home ran its keys in that time.
func (d *Deduplicator) SetPlacements(now time.Time, placements ...Placement) {
	d.expire(now)
	if d.placementHistory.isCurrent(placements) {
		return
	}
	d.placementHistory = append(d.placementHistory, placementChange{since: now, placements: placements})
	d.placementHistory = d.placementHistory.trimmed(now.Add(-d.retention()))
}

// IsHome reports whether this instance is the home of a key.
func (d *Deduplicator) IsHome(key Key) bool {
	_, ok := d.placementHistory.homeSince(key)
	return ok
}

// Len returns the number of records.
func (d *Deduplicator) Len() int {
	return len(d.records)
}

// Begin decides how an attempt with a key is handled. After Run, each further attempt with the key is decided from the
// record as long as the record is kept.
func (d *Deduplicator) Begin(now time.Time, key Key, attempt int) Decision {
	d.expire(now)
	if known := d.records[key.text]; known != nil {
		return known.decision()
	}
	since, isHome := d.placementHistory.homeSince(key)
	if !isHome {
		return reject(KindWhenUnreachable(attempt, false))
	}
	if attempt != 1 {
		if kind, refused := d.refusal(now, key, since); refused {
			return reject(kind)
		}
	}
	if len(d.records) >= d.maxRecords {
		return d.full()
	}
	d.records[key.text] = &record{text: key.text, state: running}
	return Decision{Action: Run}
}

// End records how the run of a key ended. A request that ended before it was sent ends with NotSent.
func (d *Deduplicator) End(now time.Time, key Key, evidence describer.Evidence, status int) {
	d.expire(now)
	known := d.records[key.text]
	if known == nil || known.state != running {
		return
	}
	if evidence.ProvesNotRun() {
		delete(d.records, key.text)
		return
	}
	known.end(evidence, status)
	known.expiresAt = now.Add(d.retention())
	d.ended = append(d.ended, known)
}

// refusal returns the error kind for a retry of a key without a record, and whether the key may have run before. since
// is when this instance became its home.
func (d *Deduplicator) refusal(now time.Time, key Key, since time.Time) (classifier.Kind, bool) {
	takeoverIsRecent := now.Before(since.Add(d.retention()))
	if !d.hasUsableTime(now, key) {
		return classifier.OutcomeUnknown, takeoverIsRecent
	}
	if now.After(key.issuedAt.Add(d.window)) {
		return classifier.KeyExpired, true
	}
	issuedBefore := !key.issuedAt.After(since.Add(d.skew))
	return classifier.OutcomeUnknown, takeoverIsRecent && issuedBefore
}

// hasUsableTime reports whether a key carries an issue time that is not in the future. A clock that is further ahead
// than the allowed skew proves nothing about the order of a key and a takeover.
func (d *Deduplicator) hasUsableTime(now time.Time, key Key) bool {
	return !key.issuedAt.IsZero() && !key.issuedAt.After(now.Add(d.skew))
}

// retention is how long a record is kept after the end of its run. A key whose issue time, by its caller's clock, is up
// to one skew after the run must keep its record until the key is refused as expired.
func (d *Deduplicator) retention() time.Duration {
	return d.window + 2*d.skew
}

// full returns the decision for a key when the maximum of records is reached. The key has no record, which proves that
// it has not run.
func (d *Deduplicator) full() Decision {
	decision := reject(classifier.LimitReached)
	if len(d.ended) > 0 {
		decision.RetryAt = d.ended[0].expiresAt
	}
	return decision
}

// expire removes the records whose retention has ended.
func (d *Deduplicator) expire(now time.Time) {
	for len(d.ended) > 0 && !now.Before(d.ended[0].expiresAt) {
		delete(d.records, d.ended[0].text)
		d.ended[0] = nil
		d.ended = d.ended[1:]
	}
}
