// Package dispatcher is the request-path core. It decides for each request whether it is admitted, when it runs and
// on which backend server, and whether a failed attempt is repeated.
//
// The package is pure: events with a time go in, commands come out.
package dispatcher
