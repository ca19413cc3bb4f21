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

// network answers by host, without sockets, so that time can be virtual.
type network map[string]func(request *http.Request) (int, string, error)

func (n network) RoundTrip(request *http.Request) (*http.Response, error) {
	status, body, err := n[request.URL.Host](request)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: request}, nil
}

func refuses(*http.Request) (int, string, error) { return 0, "", errors.New("connection refused") }

func hangs(request *http.Request) (int, string, error) {
	<-request.Context().Done()
	return 0, "", request.Context().Err()
}

func answers(status int, body string) func(*http.Request) (int, string, error) {
	return func(*http.Request) (int, string, error) { return status, body, nil }
}

// TestEntryInstances guards against a client that gives up, or takes a ticket for refused, because of one entry
// instance that is dead, cut off from the store or not ready.
func TestEntryInstances(t *testing.T) {
	accepted := answers(http.StatusOK, `{"ID": "a", "Number": 7}`)
	notReady := answers(http.StatusServiceUnavailable, `{"Kind": "NotReady", "Message": "starting"}`)
	conflict := answers(http.StatusConflict, `{"Kind": "Conflict", "Message": "ticket 3"}`)
	garbage := answers(http.StatusBadGateway, `<html>`)
	tests := map[string]struct {
		first, second func(*http.Request) (int, string, error)
		number        int64
		kind          classifier.Kind
	}{
		"the first refuses connections":  {first: refuses, second: accepted, number: 7},
		"the first hangs":                {first: hangs, second: accepted, number: 7},
		"the first is not ready":         {first: notReady, second: accepted, number: 7},
		"a conflict is final":            {first: conflict, second: accepted, kind: classifier.Conflict},
		"both hang":                      {first: hangs, second: hangs, kind: classifier.StoreUnavailable},
		"both refuse connections":        {first: refuses, second: refuses, kind: classifier.StoreUnavailable},
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

// TestNoInstance guards against a client without entry instances that reports success.
func TestNoInstance(t *testing.T) {
	_, err := requester.New(nil, http.DefaultClient).Status(t.Context())
	require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
}
