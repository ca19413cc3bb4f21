// Package fakebackend is a stand-in for a backend server, in memory and over HTTP.
//
// State does no I/O and reads no clock: each call passes the time, so it can be used in virtual time. Server adds a
// lock, the clock and the HTTP handler. A Ledger is shared by the backend servers of a test: it counts the runs of each
// request and records on which servers each task runs.
package fakebackend
