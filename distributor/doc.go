// Package distributor accepts tickets, which are changes of the configuration, into the configuration store, and keeps
// the configuration state of an entry instance up to date from the store and from peers.
package distributor
