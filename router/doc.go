// Package router serves the requests of callers. It sends a non-repeatable request with an idempotency key to the home
// of the key, the only instance that may admit it to a run, lets the dispatcher decide when and where a request runs,
// and passes the response of the backend server or the peer on to the caller.
package router
