// Package assigner decides which request slots of a zone's backend servers an entry instance may use. It holds the
// zone's assignment record and the state machine of one member: joining, leaving, takeover, hold agreement and
// quarantine.
//
// Slots are assigned to members in fixed groups, the positions. Each assignment of the positions to members has a
// number, its epoch. A hold agreement lets all members of an epoch continue to start work while the store is
// unreachable for all of them. After a member has stopped, its slots are in quarantine until its heartbeats or usage
// reports show that it has no work left there.
//
// The package performs no I/O and reads no clock: the caller passes in events with the current time and carries out the
// returned commands. Times must carry a monotonic reading, or come from a clock that never steps, because the right to
// start work is decided by comparing the time with a deadline.
package assigner
