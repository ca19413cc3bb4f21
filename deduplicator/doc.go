// Package deduplicator runs each non-repeatable request at most once. It maps a key to its home and keeps the home's
// record of the keys that run or ran there.
//
// The package does no I/O and reads no clock: the time is passed with each call. It holds all parts of the at-most-once
// guarantee that need no network.
package deduplicator
