package deduplicator

import "time"

const (
	// defaultRetryWindow is the specified default of the time during which a retry with the same key is
	// recognised.
	defaultRetryWindow = 10 * time.Minute
	// defaultClockSkew is how far the clocks of callers and instances may differ. A UUIDv7 carries the time of its
	// caller's clock; a clock that is ahead would make a key look younger than a takeover that it precedes.
	defaultClockSkew = 30 * time.Second
	// defaultMaxRecords is far above 20 keys a second per instance over the retry window (12,000). A record takes
	// about 250 bytes with a key of 36 bytes, so the bound is about 50 MB.
	defaultMaxRecords = 200_000
)

// Option configures a Deduplicator.
type Option func(*Deduplicator)

// WithRetryWindow sets for how long a retry with the same key is recognised. A record is kept for that time and two
// clock skews after the end of its run.
func WithRetryWindow(window time.Duration) Option {
	return func(d *Deduplicator) { d.window = window }
}

// WithClockSkew sets how far the clocks of callers and instances may differ.
func WithClockSkew(skew time.Duration) Option {
	return func(d *Deduplicator) { d.skew = skew }
}

// WithMaxRecords sets how many keys are recorded at most; requests with further keys are refused with LimitReached.
func WithMaxRecords(records int) Option {
	return func(d *Deduplicator) { d.maxRecords = records }
}
