// Package runner runs the dispatcher, the state machine of the request path, in one goroutine and passes its commands
// to the goroutines that serve the requests.
package runner
