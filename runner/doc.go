// Package runner runs the request-path core in one goroutine and passes its commands to the goroutines that serve the
// requests.
package runner
