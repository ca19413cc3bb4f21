// Package coordinator runs one instance of a cell on a platform: it takes part in the election of the owner, runs the
// scheduling core while this instance is the owner, accepts callers' jobs, answers their queries, and makes advice calls
// for the owner.
package coordinator
