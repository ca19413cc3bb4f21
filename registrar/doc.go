// Package registrar runs the slot ownership core of package assigner against the store, the instance list and the
// peers. It gives out this instance's shares, its right to start work, and what the peers report.
package registrar
