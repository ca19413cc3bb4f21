package router

import (
	"net/http"

	"egretring.example/egretring/describer"
)

// Call is one request with all that is sent on.
type Call struct {
	Request describer.Request
	Method  string
	// Path is the path with the query as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// FirstAttempt is true when the caller promises that it has not sent the request before.
	FirstAttempt bool
}
