// Package conductor is the state machine of the owner, the instance that is elected to schedule a cell's jobs. It
// decides which task starts on which backend server, requests tickets from the advice service for the queues whose
// starts need them, renews the leases of backend servers, records the ends of runs and decides what is written to the
// store. It does no I/O and reads no clock: it turns events with a time into commands. A start is only sent after its
// record is in the store, and the end of a run is only acknowledged to its server after it is in the store, so that a
// successor never starts a task twice.
package conductor
