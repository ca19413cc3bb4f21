// Package coordinator runs one instance of a cell on a platform. It takes part in the election of the owner, the
// instance that schedules the jobs, and runs the scheduling state machine of package conductor while this instance is
// the owner. It accepts callers' jobs, responds to their queries, and makes advice calls for the owner.
package coordinator
