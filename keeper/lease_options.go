package keeper

import "time"

// LeaseOptions are the options of a new lease.
type LeaseOptions struct {
	TimeToLive time.Duration
}

// WatchOptions are the options of a watch.
type WatchOptions struct {
	Prefix        string
	AfterRevision int64
	// Wait is the longest time that the store waits for a change before it responds without one.
	Wait time.Duration
	// MaxBytes bounds the response. A watch whose changes are larger fails with ErrResponseTooLarge, and the rest of the response
	// is not transferred. Zero means no bound.
	MaxBytes int64
}
