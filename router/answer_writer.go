package router

import "net/http"

// answerWriter remembers the status with which the answer has begun.
type answerWriter struct {
	http.ResponseWriter
	// status is zero while the answer has not begun.
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

// Unwrap gives http.ResponseController the writer below.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
