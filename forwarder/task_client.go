package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// taskCallTimeout bounds a task call; it is well below the shortest useful task lease.
	taskCallTimeout = 2 * time.Second
	// maxResponseBytes bounds the response to a task call and a usage report.
	maxResponseBytes = 4 << 20
)

// TaskClient is a TaskServer that calls a backend server over HTTP. Each call carries its deadline, after which it must
// not take effect: the request may wait in a socket of the backend server when the call has timed out.
type TaskClient struct {
	base string
	http *http.Client
}

var _ TaskServer = (*TaskClient)(nil)

// NewTaskClient returns a client of the backend server at an address.
func NewTaskClient(address string, client *http.Client) *TaskClient {
	return &TaskClient{base: "http://" + address, http: client}
}

// Usage implements TaskServer.
func (c *TaskClient) Usage(ctx context.Context) (UsageReport, error) {
	var report UsageReport
	header, err := c.call(ctx, http.MethodGet, PathUsage, nil, &report)
	report.Leaving = isTrue(header, HeaderLeaving)
	return report, err
}

// Start implements TaskServer.
func (c *TaskClient) Start(ctx context.Context, call StartCall) error {
	return c.post(ctx, PathStart, call, nil)
}

// Renew implements TaskServer.
func (c *TaskClient) Renew(ctx context.Context, call RenewCall) (RenewReply, error) {
	var reply RenewReply
	err := c.post(ctx, PathRenew, call, &reply)
	return reply, err
}

// Stop implements TaskServer.
func (c *TaskClient) Stop(ctx context.Context, call TaskCall) error {
	return c.post(ctx, PathStop, call, nil)
}

// Checkpoint implements TaskServer.
func (c *TaskClient) Checkpoint(ctx context.Context, call TaskCall) error {
	return c.post(ctx, PathCheckpoint, call, nil)
}

// Throttle implements TaskServer.
func (c *TaskClient) Throttle(ctx context.Context, call TaskCall) error {
	return c.post(ctx, PathThrottle, call, nil)
}

func (c *TaskClient) post(ctx context.Context, path string, call, reply any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return errors.Wrap(err, "encode task call")
	}
	_, err = c.call(ctx, http.MethodPost, path, body, reply)
	return err
}

func (c *TaskClient) call(ctx context.Context, method, path string, body []byte, reply any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, taskCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build task call")
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrNoResponse, "call %s: %v", path, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(ErrNoResponse, "read response to %s: %v", path, err)
	}
	if err := taskError(response); err != nil {
		return response.Header, errors.Wrapf(err, "call %s", path)
	}
	return response.Header, decodeResponse(content, reply)
}

func decodeResponse(content []byte, reply any) error {
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return errors.Wrapf(ErrNoResponse, "decode response: %v", err)
	}
	return nil
}

// taskError returns the error that corresponds to the status of a response, or nil for success.
func taskError(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode == http.StatusConflict:
		return ErrStaleEpoch
	case response.StatusCode == http.StatusNotFound:
		return ErrUnknownTask
	case response.StatusCode == http.StatusServiceUnavailable && isTrue(response.Header, HeaderNotRun):
		return ErrNotStarted
	default:
		return errors.Wrapf(ErrNoResponse, "status %d", response.StatusCode)
	}
}
