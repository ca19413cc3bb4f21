package router

import "net/http"

// answerWriter remembers whether the answer has begun.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(data []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController the writer below.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
