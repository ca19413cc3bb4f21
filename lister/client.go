package lister

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/watchdog"
)

// PathList is the path of the instance list.
const PathList = "/v1/instances"

// listTimeout bounds the time until the response begins, and between two pieces of it.
const listTimeout = 2 * time.Second

// maxListBytes bounds the response; an entry has a few hundred bytes.
const maxListBytes = 64 << 20

// Listing is the response of the instance list.
type Listing struct {
	BackendServers []describer.BackendServer
	Instances      []describer.Instance
}

// Client reads the platform's instance list over HTTP. It implements List and Reader.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the instance list at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// BackendServers implements List.
func (c *Client) BackendServers(ctx context.Context) ([]describer.BackendServer, error) {
	listing, err := c.Listing(ctx)
	return listing.BackendServers, err
}

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]describer.Instance, error) {
	listing, err := c.Listing(ctx)
	return listing.Instances, err
}

// Listing implements Reader.
func (c *Client) Listing(ctx context.Context) (Listing, error) {
	ctx, progress := watchdog.Watch(ctx, 0, listTimeout)
	defer progress.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathList, nil)
	if err != nil {
		return Listing{}, errors.Wrap(err, "build instance list request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Listing{}, errors.Wrap(err, "read instance list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Listing{}, errors.Errorf("instance list returned status %d", response.StatusCode)
	}
	text, err := io.ReadAll(watchdog.Reader(ctx, io.LimitReader(response.Body, maxListBytes+1)))
	switch {
	case err != nil:
		return Listing{}, errors.Wrap(err, "read instance list")
	case len(text) > maxListBytes:
		return Listing{}, errors.Errorf("instance list has more than %d bytes", maxListBytes)
	}
	return decodeListing(text)
}
