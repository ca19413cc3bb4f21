// Package registrar runs the slot ownership core of package assigner, a state machine without I/O, against the store,
// the instance list and the peers. It provides this instance's shares, its right to start work, and the last reports of
// the peers.
package registrar
