// Package dispatcher makes the scheduling decisions of the request path. It decides for each request whether it is
// admitted, when it runs and on which backend server, and whether a failed attempt is retried.
//
// The package does no I/O and reads no clock: it turns events with a time into commands.
package dispatcher
