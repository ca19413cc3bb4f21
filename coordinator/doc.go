// Package coordinator runs one instance of a cell on a platform: it takes part in the election of the owner, runs the
// owner's core while it is elected, accepts callers' jobs, answers their questions, and makes advice calls for the owner.
package coordinator
