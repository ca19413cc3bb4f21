package observer

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/router"
)

const (
	// maxRecentRequests bounds the requests that are kept; at a few hundred bytes each they take less than 4 MB.
	maxRecentRequests = 4096
	// maxTextBytes bounds the text of an error, which may hold names that callers chose.
	maxTextBytes = 512
)

// RecentRequests holds the latest requests that were refused, failed or relayed. It is safe for concurrent use.
type RecentRequests struct {
	mu     sync.Mutex
	ring   *buffer.Ring[*recentRequest]
	byName map[string]*recentRequest
	// byTrace is separate, because a caller may choose a request ID that looks like a trace ID.
	byTrace map[string]*recentRequest
}

type recentRequest struct {
	name    string
	trace   string
	at      time.Time
	text    string
	retryAt time.Time
}

// NewRecentRequests returns a RecentRequests without requests.
func NewRecentRequests() *RecentRequests {
	return &RecentRequests{
		ring:    buffer.NewRing[*recentRequest](maxRecentRequests),
		byName:  make(map[string]*recentRequest),
		byTrace: make(map[string]*recentRequest),
	}
}

// Add stores a request. When it is full, the oldest request is dropped.
func (r *RecentRequests) Add(ended router.EndedRequest) {
	request := &recentRequest{
		name: ended.RequestID, trace: ended.Trace, at: ended.At.UTC(), text: textOf(ended),
		retryAt: classifier.RetryAtOf(ended.Err),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ring.Len() == r.ring.Cap() {
		oldest, _ := r.ring.Pop()
		deleteEntry(r.byName, oldest.name, oldest)
		deleteEntry(r.byTrace, oldest.trace, oldest)
	}
	r.ring.Push(request)
	r.byName[request.name] = request
	r.byTrace[request.trace] = request
}

// deleteEntry deletes a request from an index unless a later request has the same name.
func deleteEntry(index map[string]*recentRequest, name string, request *recentRequest) {
	if index[name] == request {
		delete(index, name)
	}
}

// Reasons returns the outcome of the request with the given request ID or trace ID; it is empty for a request that is
// not kept.
func (r *RecentRequests) Reasons(object string) []reporter.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.byName[object]
	if request == nil {
		request = r.byTrace[object]
	}
	if request == nil {
		return nil
	}
	return []reporter.Reason{{
		About: "Request " + request.name, At: request.at, Text: request.text, RetryAt: request.retryAt,
	}}
}

func textOf(ended router.EndedRequest) string {
	text := "answered"
	if ended.Err != nil {
		kind := classifier.KindOf(ended.Err)
		text = fmt.Sprintf("%s (%s): %s", kind, classifier.ErrorResponseOf(kind).Outcome, ended.Err)
	}
	if len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "")
	}
	if ended.RelayedTo != "" {
		text += fmt.Sprintf("; relayed to instance %s", ended.RelayedTo)
	}
	return fmt.Sprintf("%s; ended after %v", text, ended.Duration.Round(100*time.Microsecond))
}
