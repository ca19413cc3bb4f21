// Package fakebackend is a stand-in for a backend server, in memory and over HTTP.
//
// State is the pure part: it takes the time with each call and can be used in virtual time. Server adds a lock, the
// clock and the HTTP handler. A Ledger is shared by the backend servers of a test and counts what ran where.
package fakebackend
