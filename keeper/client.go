package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/watchdog"
)

// callTimeout bounds the time until the response to a call that does not wait for changes begins, and between two pieces of it.
const callTimeout = 2 * time.Second

// Client is a Store that is reached over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := c.call(ctx, PathGet, Call{Key: key})
	return reply.Entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Page, error) {
	reply, err := c.call(ctx, PathList, Call{Key: prefix})
	return reply.Page, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, options PutOptions) (Entry, error) {
	reply, err := c.call(ctx, PathPut, Call{
		Key: options.Key, Value: options.Value, Version: options.Version, Lease: options.Lease,
	})
	return reply.Entry, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.call(ctx, PathDelete, Call{Key: key, Version: version})
	return err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	reply, err := c.call(ctx, PathGrant, Call{TimeToLive: timeToLive})
	return reply.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	_, err := c.call(ctx, PathRenew, Call{Lease: lease})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := c.call(ctx, PathRevoke, Call{Lease: lease})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision int64) (Changes, error) {
	reply, err := c.post(ctx, PathWatch, Call{Key: prefix, Revision: afterRevision})
	return reply.Changes, err
}

func (c *Client) call(ctx context.Context, path string, call Call) (Reply, error) {
	ctx, progress := watchdog.Watch(ctx, 0, callTimeout)
	defer progress.Stop()
	return c.post(ctx, path, call)
}

func (c *Client) post(ctx context.Context, path string, call Call) (Reply, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return Reply{}, errors.Wrap(err, "encode store call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "build store call")
	}
	watchdog.ReportProgress(request)
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, errors.Wrapf(ErrUnavailable, "store call %s: %v", path, err)
	}
	defer response.Body.Close()
	var reply Reply
	if err := json.NewDecoder(watchdog.Reader(ctx, response.Body)).Decode(&reply); err != nil {
		return Reply{}, errors.Wrapf(ErrUnavailable, "decode response to store call %s: %v", path, err)
	}
	if reply.Failure != "" {
		return reply, errors.Wrapf(errorOfFailure(reply.Failure), "store call %s", path)
	}
	return reply, nil
}

// errorOfFailure returns the error with a name in the protocol; an unknown name counts as ErrUnavailable.
func errorOfFailure(name string) error {
	if err, ok := failures[name]; ok {
		return err
	}
	return ErrUnavailable
}
