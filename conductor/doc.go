// Package conductor is the core of the owner of a cell's jobs: it decides which task starts on which backend server,
// asks for advice, renews the leases of backend servers, takes note of ends and decides what is written to the store.
// It is pure: events with a time go in, commands come out. A start is only sent after the store has its record, and an
// end is only acknowledged to its server after the store has it, so that a successor never starts anything twice.
package conductor
