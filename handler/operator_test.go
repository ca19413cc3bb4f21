package handler_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/distributor"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/reporter"
)

// TestOperatorErrors guards against an error response with the wrong status, kind, outcome or retry time.
func TestOperatorErrors(t *testing.T) {
	store := fakekeeper.New()
	ready, starting := distributor.New(store), distributor.New(store)
	ready.Start()
	defer func() { require.NoError(t, ready.Stop()) }()
	<-ready.Subscribe().States()
	tests := []struct {
		name, method, path, body, kind, message string
		status                                  int
		starting, retry                         bool
	}{
		{name: "unknown path", method: "GET", path: "/v2/status", kind: "NotFound", status: 404},
		{name: "wrong method", method: "DELETE", path: "/v1/status", kind: "NotFound", status: 404},
		{name: "unknown parameter", method: "GET", path: "/v1/jobs?Zone=a", kind: "BadRequest", status: 400, message: `"Zone"`},
		{name: "bad parameter", method: "GET", path: "/v1/tickets?Limit=-1", kind: "BadRequest", status: 400, message: "0 to 2000"},
		{name: "bad query", method: "GET", path: "/v1/jobs?a=%zz", kind: "BadRequest", status: 400},
		{name: "bad number", method: "GET", path: "/v1/inforce/0", kind: "BadRequest", status: 400},
		{name: "unknown number", method: "GET", path: "/v1/inforce/3", kind: "NotFound", status: 404},
		{name: "nothing to explain", method: "GET", path: "/v1/why/", kind: "BadRequest", status: 400},
		{name: "bad ticket", method: "POST", path: "/v1/tickets", body: "{}", kind: "BadTicket", status: 422, message: "ID: is missing"},
		{
			name: "large ticket", method: "POST", path: "/v1/tickets", body: strings.Repeat(" ", parser.MaxTextBytes+1),
			kind: "RequestTooLarge", status: 413,
		},
		{name: "not ready", method: "GET", path: "/v1/services", kind: "NotReady", status: 503, starting: true, retry: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration := ready
			if test.starting {
				configuration = starting
			}
			request := httptest.NewRequestWithContext(context.Background(), test.method, test.path, strings.NewReader(test.body))
			recorder := httptest.NewRecorder()
			handler.NewOperatorHandler(reporter.New(configuration)).ServeHTTP(recorder, request)
			require.Equal(t, test.status, recorder.Code)
			var body handler.ErrorBody
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
			require.Equal(t, test.kind, body.Kind)
			require.Equal(t, test.kind, recorder.Header().Get("Egretring-Kind"))
			require.Equal(t, "NotRun", recorder.Header().Get("Egretring-Outcome"))
			require.Contains(t, body.Message, test.message)
			require.Equal(t, test.retry, recorder.Header().Get("Retry-After") != "")
			require.Equal(t, test.kind == "BadTicket", len(body.Failures) > 0)
		})
	}
}
