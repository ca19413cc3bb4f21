// Package deduplicator ensures that each non-repeatable request with an idempotency key runs at most once. It maps a key
// to its home, the only instance that may admit it to a run, and keeps the home's record of the keys that run or ran.
//
// The package does no I/O and reads no clock: the time is passed with each call. It holds all parts of the at-most-once
// guarantee that need no network.
package deduplicator
