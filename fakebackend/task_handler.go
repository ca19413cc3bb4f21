package fakebackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"egretring.example/egretring/forwarder"
)

func (s *Server) registerTaskCalls(mux *http.ServeMux) {
	mux.HandleFunc("GET "+forwarder.PathUsage, func(w http.ResponseWriter, r *http.Request) {
		report, err := s.Usage(r.Context())
		s.writeTaskResponse(w, report, err)
	})
	handle(s, mux, forwarder.PathStart, func(ctx context.Context, call forwarder.StartCall) (struct{}, error) {
		return struct{}{}, s.Start(ctx, call)
	})
	handle(s, mux, forwarder.PathRenew, s.Renew)
	taskCalls := map[string]func(context.Context, forwarder.TaskCall) error{
		forwarder.PathStop:       s.Stop,
		forwarder.PathCheckpoint: s.Checkpoint,
		forwarder.PathThrottle:   s.Throttle,
	}
	for path, run := range taskCalls {
		handle(s, mux, path, func(ctx context.Context, call forwarder.TaskCall) (struct{}, error) {
			return struct{}{}, run(ctx, call)
		})
	}
}

// handle registers a handler for calls with a JSON body.
func handle[Call, Reply any](
	s *Server, mux *http.ServeMux, path string, run func(context.Context, Call) (Reply, error),
) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if isLate(r) {
			http.Error(w, "the deadline of the call has passed", http.StatusRequestTimeout)
			return
		}
		var call Call
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := run(r.Context(), call)
		s.writeTaskResponse(w, reply, err)
	})
}

// isLate reports whether the deadline of a call has passed.
func isLate(r *http.Request) bool {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(forwarder.HeaderDeadline))
	return err == nil && time.Now().After(deadline)
}

func (s *Server) writeTaskResponse(w http.ResponseWriter, reply any, err error) {
	if s.isLeaving() {
		w.Header().Set(forwarder.HeaderLeaving, "true")
	}
	switch {
	case forwarder.IsErrStaleEpoch(err):
		http.Error(w, err.Error(), http.StatusConflict)
	case forwarder.IsErrUnknownTask(err):
		http.Error(w, err.Error(), http.StatusNotFound)
	case forwarder.IsErrNotStarted(err):
		w.Header().Set(forwarder.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		if err := json.NewEncoder(w).Encode(reply); err != nil {
			return
		}
	}
}
