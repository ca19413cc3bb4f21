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
	// recentRequests bounds the requests that are kept; at a few hundred bytes each they take below 4 MB.
	recentRequests = 4096
	// maxTextBytes bounds the text of an error, which may hold names that callers chose.
	maxTextBytes = 512
)

// Recent holds the requests that were refused, failed or were relayed last. It is safe for concurrent use.
type Recent struct {
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

// NewRecent returns an empty ring.
func NewRecent() *Recent {
	return &Recent{
		ring:    buffer.NewRing[*recentRequest](recentRequests),
		byName:  make(map[string]*recentRequest),
		byTrace: make(map[string]*recentRequest),
	}
}

// Add keeps a request in place of the oldest one.
func (r *Recent) Add(ended router.Ended) {
	request := &recentRequest{
		name: ended.Name, trace: ended.Trace, at: ended.At.UTC(), text: textOf(ended),
		retryAt: classifier.RetryAtOf(ended.Err),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ring.Len() == r.ring.Cap() {
		oldest, _ := r.ring.Pop()
		forget(r.byName, oldest.name, oldest)
		forget(r.byTrace, oldest.trace, oldest)
	}
	r.ring.Push(request)
	r.byName[request.name] = request
	r.byTrace[request.trace] = request
}

// forget removes a request unless a later one has taken its name.
func forget(index map[string]*recentRequest, name string, request *recentRequest) {
	if index[name] == request {
		delete(index, name)
	}
}

// Reasons returns what is known about a request, by its request ID or the ID of its trace.
func (r *Recent) Reasons(what string) []reporter.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.byName[what]
	if request == nil {
		request = r.byTrace[what]
	}
	if request == nil {
		return nil
	}
	return []reporter.Reason{{
		About: "Request " + request.name, At: request.at, Text: request.text, RetryAt: request.retryAt,
	}}
}

func textOf(ended router.Ended) string {
	text := "answered"
	if ended.Err != nil {
		kind := classifier.KindOf(ended.Err)
		text = fmt.Sprintf("%s (%s): %s", kind, classifier.AnswerOf(kind).Outcome, ended.Err)
	}
	if len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "")
	}
	if ended.RelayedTo != "" {
		text += fmt.Sprintf("; relayed to instance %s", ended.RelayedTo)
	}
	return fmt.Sprintf("%s; ended after %v", text, ended.Duration.Round(100*time.Microsecond))
}
