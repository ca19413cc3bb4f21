package watchdog

import (
	"io"
	"net/http"
)

// ReportProgress makes the pieces of a request's body that are sent count as progress of its call. The request has a body that can be read
// again.
func ReportProgress(request *http.Request) {
	newBody := request.GetBody
	request.GetBody = func() (io.ReadCloser, error) {
		body, err := newBody()
		return io.NopCloser(Reader(request.Context(), body)), err
	}
	request.Body = io.NopCloser(Reader(request.Context(), request.Body))
}
