package server

import (
	"net/http"
	"sync"
)

// tracker counts the requests in flight per path.
type tracker struct {
	next http.Handler

	mu       sync.Mutex
	inFlight map[string]int
}

func newTracker(next http.Handler) *tracker {
	return &tracker{next: next, inFlight: make(map[string]int)}
}

// ServeHTTP implements http.Handler.
func (t *tracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.add(r.URL.Path, 1)
	defer t.add(r.URL.Path, -1)
	t.next.ServeHTTP(w, r)
}

func (t *tracker) add(path string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[path] += n
	if t.inFlight[path] == 0 {
		delete(t.inFlight, path)
	}
}

// remaining returns how many requests are in flight per path.
func (t *tracker) remaining() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := make(map[string]int, len(t.inFlight))
	for path, n := range t.inFlight {
		remaining[path] = n
	}
	return remaining
}
