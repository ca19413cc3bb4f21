// Package router serves one request of a caller: it finds the home of a non-repeatable request, runs the request
// through the request-path core, and passes the answer of the backend server or the peer on to the caller.
package router
