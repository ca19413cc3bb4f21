package fakebackend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/timekeeper"
)

// HeaderRunTime is the header that overrides the run time of one request. Its value is a Go duration.
const HeaderRunTime = "Fake-Run-Time"

// HeaderResponseBytes is the header that sets the length of the response to one request.
const HeaderResponseBytes = "Fake-Answer-Bytes"

// maxResponseBytes is the largest response length that a request can set; the default replaces a larger one.
const maxResponseBytes = 64 << 20

// Handler returns a handler that serves the task calls, the usage report and, on all other paths, requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.registerTaskCalls(mux)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := parseRequest(r)
	decision := s.begin(request)
	defer s.end(decision.Run)
	if decision.Leaving {
		w.Header().Set(forwarder.HeaderLeaving, "true")
	}
	if decision.Run == 0 {
		refuse(w, decision.Mode)
		return
	}
	ctx := r.Context()
	if decision.Mode == IgnoresCancel {
		ctx = context.WithoutCancel(ctx)
	}
	if !sleep(ctx, decision.RunTime) {
		s.updateCounters(func(c *Counters) { c.Cancelled++ })
		return
	}
	s.writeResponse(w, r, request, decision)
}

// refuse responds to a request that is not run, or breaks its connection in the mode BreaksBeforeRun.
func refuse(w http.ResponseWriter, mode Mode) {
	if mode == BreaksBeforeRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(forwarder.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeResponse sends the response as the mode of the request demands. It frees the slot before the last byte is sent,
// so that a caller which has the complete response can use the slot again.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, request Request, decision Decision) {
	if s.isLeaving() {
		w.Header().Set(forwarder.HeaderLeaving, "true")
	}
	body := ResponseBody(request.ID, responseLength(r))
	switch decision.Mode {
	case FailsFast:
		s.end(decision.Run)
		http.Error(w, "the backend server failed", http.StatusInternalServerError)
		return
	case BreaksAfterRun:
		s.end(decision.Run)
		panic(http.ErrAbortHandler)
	case RespondsLate:
		s.end(decision.Run)
		if !sleep(r.Context(), decision.ResponseDelay) {
			return
		}
	case TruncatesLength, TruncatesChunked:
		s.writeTruncated(w, body, decision)
	}
	w.Header().Set(forwarder.HeaderRequest, request.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	last := len(body) - 1
	if !write(w, body[:last]) {
		return
	}
	s.end(decision.Run)
	s.updateCounters(func(c *Counters) { c.Answered++ })
	write(w, body[last:])
}

// writeTruncated sends the first half of a response and breaks the connection.
func (s *Server) writeTruncated(w http.ResponseWriter, body []byte, decision Decision) {
	if decision.Mode == TruncatesLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(http.StatusOK)
	write(w, body[:len(body)/2])
	s.end(decision.Run)
	panic(http.ErrAbortHandler)
}

func write(w http.ResponseWriter, data []byte) bool {
	if _, err := w.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// ResponseBody returns the body of the response to a request: its ID, repeated and cut to the length, with a newline as
// the last byte.
func ResponseBody(id string, length int) []byte {
	pattern := id + " "
	repeated := strings.Repeat(pattern, length/len(pattern)+1)
	return append([]byte(repeated[:length-1]), '\n')
}

func parseRequest(r *http.Request) Request {
	request := Request{
		ID:  r.Header.Get(forwarder.HeaderRequest),
		Key: r.Header.Get(forwarder.HeaderIdempotencyKey),
	}
	if parts := strings.Split(r.URL.Path, "/"); len(parts) > 2 {
		request.Kind = describer.KindID(parts[2])
	}
	if runTime, err := time.ParseDuration(r.Header.Get(HeaderRunTime)); err == nil {
		request.RunTime = runTime
	}
	return request
}

func responseLength(r *http.Request) int {
	length, err := strconv.Atoi(r.Header.Get(HeaderResponseBytes))
	if err != nil || length < 1 || length > maxResponseBytes {
		return defaultResponseBytes
	}
	return length
}

// defaultResponseBytes is the length of the response to a request that sets no valid length.
const defaultResponseBytes = 64

func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	return timekeeper.Sleep(ctx, duration)
}
