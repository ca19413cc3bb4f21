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
}
