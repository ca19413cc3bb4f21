package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/handler"
)

const (
	// readTimeout bounds a read from one entry instance, so that an instance that hangs does not keep the client from
	// trying the others.
	readTimeout = 5 * time.Second
	// applyTimeout bounds the call that applies a ticket at one of several entry instances. The instance may be
	// partitioned from the store while another is not; applying the ticket there too is idempotent because of its ID.
	applyTimeout = 10 * time.Second
	// retryInterval is the wait before all entry instances are tried again.
	retryInterval = 500 * time.Millisecond
	// maxResponseBytes bounds a response; 220,000 tasks take about 60 MB.
	maxResponseBytes = 256 << 20
)

// failoverKinds are the kinds of errors after which another entry instance is tried, because it may succeed.
var failoverKinds = []classifier.Kind{
	classifier.NotReady, classifier.Draining, classifier.StoreUnavailable, classifier.QueueFull,
}

// Client calls the operators' API. It tries the entry instances in order, beginning with the one at which the last
// call ended.
type Client struct {
	baseURLs []string
	http     *http.Client
}

// New returns a client of the entry instances with these base URLs.
func New(baseURLs []string, client *http.Client) *Client {
	return &Client{baseURLs: slices.Clone(baseURLs), http: client}
}

// call is one call of the operators' API.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// timeout bounds the call at one instance; zero means that only the context bounds it.
	timeout time.Duration
}

// do tries the entry instances in order. Every call is safe to retry: reads change nothing, and a ticket is recognised
// by its ID.
func (c *Client) do(ctx context.Context, operation call, into any) error {
	var lastErr error = classifier.New(classifier.BadRequest, "no entry instance is given")
	for i, baseURL := range c.baseURLs {
		err := c.try(ctx, baseURL, operation, into)
		if err == nil || ctx.Err() != nil || !slices.Contains(failoverKinds, classifier.KindOf(err)) {
			c.prefer(i)
			return err
		}
		lastErr = err
	}
	return lastErr
}

// doUntilDecided tries all entry instances repeatedly until one has accepted or refused the call, or the context
// ends.
func (c *Client) doUntilDecided(ctx context.Context, operation call, into any) error {
	if len(c.baseURLs) > 1 {
		operation.timeout = applyTimeout
	}
	for {
		err := c.do(ctx, operation, into)
		if err == nil || ctx.Err() != nil || !slices.Contains(failoverKinds, classifier.KindOf(err)) {
			return err
		}
		pause := time.NewTimer(retryInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

// prefer moves an instance to the front, so that the next call tries it first.
func (c *Client) prefer(index int) {
	baseURL := c.baseURLs[index]
	c.baseURLs = append([]string{baseURL}, slices.Delete(c.baseURLs, index, index+1)...)
}

func (c *Client) try(ctx context.Context, baseURL string, operation call, into any) error {
	if operation.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, operation.timeout)
		defer cancel()
	}
	target := baseURL + operation.path
	if len(operation.query) > 0 {
		target += "?" + operation.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, operation.method, target, bytes.NewReader(operation.body))
	if err != nil {
		return classifier.Wrap(err, classifier.BadRequest, "entry instance %q", baseURL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return noResponseError(err, baseURL, operation)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return noResponseError(err, baseURL, operation)
	}
	return decode(response.StatusCode, text, into)
}

// noResponseError returns the error of a call without a response. A ticket may have been accepted nevertheless.
func noResponseError(err error, baseURL string, operation call) error {
	if operation.method == http.MethodGet {
		return classifier.Wrap(err, classifier.NotReady, "entry instance %s gave no answer", baseURL)
	}
	return classifier.Wrap(err, classifier.StoreUnavailable,
		"entry instance %s gave no answer; the ticket may have been accepted, apply it again with the same ID", baseURL)
}

func decode(status int, text []byte, into any) error {
	if status == http.StatusOK {
		return errors.Wrap(json.Unmarshal(text, into), "decode response")
	}
	var body handler.ErrorBody
	if err := json.Unmarshal(text, &body); err != nil {
		return errors.Errorf("entry instance returned status %d without a known body", status)
	}
	kind, _ := classifier.ParseKind(body.Kind)
	return classifier.New(kind, "%s", body.Message).WithRetryAt(body.RetryAt)
}

// read gets a path and decodes the response.
func read[V any](ctx context.Context, c *Client, path string, query url.Values) (V, error) {
	var view V
	err := c.do(ctx, call{method: http.MethodGet, path: path, query: query, timeout: readTimeout}, &view)
	return view, err
}
