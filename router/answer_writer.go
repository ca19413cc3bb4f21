package router

import "net/http"

// answerWriter records the status of the answer.
type answerWriter struct {
	http.ResponseWriter
	// status is zero until the header of the answer has been written.
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
