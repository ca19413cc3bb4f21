// Package assigner decides which request slots of a zone's backend servers an entry instance may use. It holds the
// zone's assignment record and the state machine of one member: joining, leaving, takeover, hold agreement and
// quarantine.
//
// The package is pure: events with a time go in, commands come out. Times must carry a monotonic reading, or come from
// a clock that never steps, because the right to start work is a comparison with a deadline.
package assigner
