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
	// readTimeout bounds a read at one entry instance, so that one that hangs does not hold up the others.
	readTimeout = 5 * time.Second
	// applyTimeout is how long one of several entry instances may take for a ticket. It may be cut off from the store
	// while another is not; applying the ticket there is safe because of its ID.
	applyTimeout = 10 * time.Second
	// roundPause is the time before the entry instances are tried again.
	roundPause = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer; 220,000 tasks take about 60 MB.
	maxAnswerBytes = 256 << 20
)

// elsewhere are the kinds of errors at which another entry instance may do better.
var elsewhere = []classifier.Kind{
	classifier.NotReady, classifier.Draining, classifier.StoreUnavailable, classifier.QueueFull,
}

// Client calls the operators' API. It tries the entry instances in order and stays with the one that answered.
type Client struct {
	bases []string
	http  *http.Client
}

// New returns a client of entry instances, which are given by their base URLs.
func New(bases []string, client *http.Client) *Client {
	return &Client{bases: slices.Clone(bases), http: client}
}

// call is one call of the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// timeout bounds the call at one instance; zero means that only the context bounds it.
	timeout time.Duration
}

// do tries the entry instances. Every call may be repeated: reads change nothing, and a ticket is recognised by its ID.
func (c *Client) do(ctx context.Context, one call, into any) error {
	var failure error = classifier.New(classifier.BadRequest, "no entry instance is given")
	for i, base := range c.bases {
		err := c.try(ctx, base, one, into)
		if err == nil || ctx.Err() != nil || !slices.Contains(elsewhere, classifier.KindOf(err)) {
			c.prefer(i)
			return err
		}
		failure = err
	}
	return failure
}

// doUntilDecided tries the entry instances in rounds until one has decided or the context ends.
func (c *Client) doUntilDecided(ctx context.Context, one call, into any) error {
	if len(c.bases) > 1 {
		one.timeout = applyTimeout
	}
	for {
		err := c.do(ctx, one, into)
		if err == nil || ctx.Err() != nil || !slices.Contains(elsewhere, classifier.KindOf(err)) {
			return err
		}
		pause := time.NewTimer(roundPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

// prefer moves the instance that answered to the front.
func (c *Client) prefer(index int) {
	base := c.bases[index]
	c.bases = append([]string{base}, slices.Delete(c.bases, index, index+1)...)
}

func (c *Client) try(ctx context.Context, base string, one call, into any) error {
	if one.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, one.timeout)
		defer cancel()
	}
	target := base + one.path
	if len(one.query) > 0 {
		target += "?" + one.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, one.method, target, bytes.NewReader(one.body))
	if err != nil {
		return classifier.Wrap(err, classifier.BadRequest, "entry instance %q", base)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unreachable(err, base, one)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unreachable(err, base, one)
	}
	return decode(response.StatusCode, text, into)
}

// unreachable is the error of a call without an answer. A ticket may have been accepted nevertheless.
func unreachable(err error, base string, one call) error {
	if one.method == http.MethodGet {
		return classifier.Wrap(err, classifier.NotReady, "entry instance %s gave no answer", base)
	}
	return classifier.Wrap(err, classifier.StoreUnavailable,
		"entry instance %s gave no answer; the ticket may have been accepted, apply it again with the same ID", base)
}

func decode(status int, text []byte, into any) error {
	if status == http.StatusOK {
		return errors.Wrap(json.Unmarshal(text, into), "decode answer")
	}
	var body handler.ErrorBody
	if err := json.Unmarshal(text, &body); err != nil {
		return errors.Errorf("entry instance answered status %d without a known body", status)
	}
	kind, _ := classifier.KindNamed(body.Kind)
	return classifier.New(kind, "%s", body.Message).WithRetryAt(body.RetryAt)
}

// read calls a path and decodes its answer.
func read[V any](ctx context.Context, c *Client, path string, query url.Values) (V, error) {
	var view V
	err := c.do(ctx, call{method: http.MethodGet, path: path, query: query, timeout: readTimeout}, &view)
	return view, err
}
