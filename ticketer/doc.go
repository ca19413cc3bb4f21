// Package ticketer checks, compares and applies change tickets, and holds the configuration state that they produce. It
// is pure: it has no goroutine, socket or clock.
package ticketer
