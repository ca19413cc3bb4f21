// Package runner runs the request-path core in one goroutine and gives its commands to the goroutines of the requests.
package runner
