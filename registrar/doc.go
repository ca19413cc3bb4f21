// Package registrar connects the slot ownership state machine of package assigner, which does no I/O, to the store, the
// instance list and the peers. It provides this instance's shares, its right to start work, and the last heartbeats of
// the peers. Package assigner explains positions, epochs, hold agreements and quarantine.
package registrar
