// Package conductor is the state machine of the owner of a cell's jobs: it decides which task starts on which backend
// server, requests advice tickets, renews the leases of backend servers, records the ends of runs and decides what is
// written to the store. It does no I/O: events with a time go in, commands come out. A start is only sent after its
// record is in the store, and the end of a run is only acknowledged to its server after it is in the store, so that a
// successor never starts a task twice.
package conductor
