// Package deduplicator runs each non-repeatable request at most once. It maps a key to its home and keeps the home's
// record of the keys that run or ran there.
//
// The package is pure: the time is passed with each call. All parts of section 5 of the design that need no socket are
// here.
package deduplicator
