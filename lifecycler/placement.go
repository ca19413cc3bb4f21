package lifecycler

import "egretring.example/egretring/specifier"

// Placement assigns a run of a task to a server.
type Placement struct {
	Run    int
	Server specifier.Server
	// LongLease is set when the lease of the server may last longer than the owner's renewals, as after a restart: an owner
	// that finds the run in the record has to wait for the longest lease.
	LongLease bool
}
