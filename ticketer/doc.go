// Package ticketer checks, compares and applies change tickets, and holds the configuration state that they produce. It
// does no I/O, reads no clock and starts no goroutine.
package ticketer
