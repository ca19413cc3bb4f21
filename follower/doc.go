// Package follower keeps the newest configuration of an instance up to date. It reads the whole configuration only when it
// has changed, and now and then to find changes that its watches missed, so that a large configuration takes a bounded
// share of a small link.
package follower
