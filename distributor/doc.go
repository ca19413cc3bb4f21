// Package distributor accepts tickets into the configuration store and keeps the configuration state of an entry
// instance up to date from the store and from peers.
package distributor
