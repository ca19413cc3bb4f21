package requester_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/requester"
)

// network is a transport with one response function per host and without sockets, so that time can be virtual.
type network map[string]func(request *http.Request) (int, string, error)

func (n network) RoundTrip(request *http.Request) (*http.Response, error) {
	status, body, err := n[request.URL.Host](request)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: request}, nil
}

func refuseConnection(*http.Request) (int, string, error) {
	return 0, "", errors.New("connection refused")
}

func hang(request *http.Request) (int, string, error) {
	<-request.Context().Done()
	return 0, "", request.Context().Err()
}

func respond(status int, body string) func(*http.Request) (int, string, error) {
	return func(*http.Request) (int, string, error) { return status, body, nil }
}

// TestFailoverToNextInstance guards against a client that gives up, or reports a ticket as refused, because one entry
// instance has failed, is partitioned from the store or is not ready.
func TestFailoverToNextInstance(t *testing.T) {
	accepted := respond(http.StatusOK, `{"ID": "a", "Number": 7}`)
	notReady := respond(http.StatusServiceUnavailable, `{"Kind": "NotReady", "Message": "starting"}`)
	conflict := respond(http.StatusConflict, `{"Kind": "Conflict", "Message": "ticket 3"}`)
	garbage := respond(http.StatusBadGateway, `<html>`)
	tests := map[string]struct {
		first, second func(*http.Request) (int, string, error)
		number        int64
		kind          classifier.Kind
	}{
		"the first refuses connections":  {first: refuseConnection, second: accepted, number: 7},
		"the first hangs":                {first: hang, second: accepted, number: 7},
		"the first is not ready":         {first: notReady, second: accepted, number: 7},
		"a conflict is final":            {first: conflict, second: accepted, kind: classifier.Conflict},
		"both hang":                      {first: hang, second: hang, kind: classifier.StoreUnavailable},
		"both refuse connections":        {first: refuseConnection, second: refuseConnection, kind: classifier.StoreUnavailable},
		"both are not ready":             {first: notReady, second: notReady, kind: classifier.NotReady},
		"the answer is not of egretring": {first: garbage, second: accepted, kind: classifier.Internal},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				client := requester.New([]string{"http://first", "http://second"}, &http.Client{
					Transport: network{"first": test.first, "second": test.second},
				})
				view, err := client.Apply(ctx, []byte("{}"))
				if test.number > 0 {
					require.NoError(t, err)
					require.Equal(t, test.number, view.Number)
					return
				}
				require.Equal(t, test.kind, classifier.KindOf(err), "%v", err)
			})
		})
	}
}

// TestClientWithoutInstances guards against a client without entry instances that reports success.
func TestClientWithoutInstances(t *testing.T) {
	_, err := requester.New(nil, http.DefaultClient).Status(t.Context())
	require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
}
