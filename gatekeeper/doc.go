// Package gatekeeper bounds what callers can take from the process: memory, connections and time.
//
// Ledger decides. It is pure: it counts what each connection holds and names the connections to close when a bound is reached. Gate
// is the layer between the listener and the HTTP server: it tells the ledger what is read, and closes what the ledger names.
package gatekeeper
