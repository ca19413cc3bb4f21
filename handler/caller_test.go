package handler_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/router"
)

// stubRouteService has one configured service, each request of which succeeds, and one whose configuration was not read
// yet.
type stubRouteService struct{}

func (stubRouteService) Service(id describer.ServiceID) (describer.Service, error) {
	switch id {
	case "tally":
		return describer.Service{ID: id}, nil
	case "early":
		return describer.Service{}, classifier.New(classifier.NotReady, "no tickets were read yet")
	}
	return describer.Service{}, classifier.New(classifier.UnknownService, "service %q is not configured", id)
}

func (stubRouteService) Route(_ context.Context, _ router.Call, w http.ResponseWriter) error {
	w.WriteHeader(http.StatusOK)
	return nil
}

// TestCallerRequestValidation guards against an invalid request that is served, that gets a response without the kind
// of its error, or that gets the outcome NotRun although an earlier attempt with the same key may have run.
func TestCallerRequestValidation(t *testing.T) {
	var cases []struct {
		Name, Path, Body string
		Headers          map[string]string
		Status           int
		Kind, Outcome    string
	}
	data, err := os.ReadFile("testdata/caller.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &cases))
	callerHandler := handler.NewCallerHandler(stubRouteService{}, handler.CallerOptions{
		MaxRequestBytes: 5, DefaultTimeout: time.Second, MaxTimeout: time.Hour,
	}, slog.New(slog.DiscardHandler))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, c.Path, strings.NewReader(c.Body))
			for name, value := range c.Headers {
				request.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			callerHandler.ServeHTTP(recorder, request)
			require.Equal(t, c.Status, recorder.Code, recorder.Body.String())
			require.Equal(t, c.Kind, recorder.Header().Get(forwarder.HeaderKind))
			require.Equal(t, c.Outcome, recorder.Header().Get(forwarder.HeaderOutcome))
			if c.Kind == "" {
				return
			}
			var body handler.ErrorBody
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
			require.Equal(t, c.Kind, body.Kind)
			require.NotEmpty(t, body.Message)
		})
	}
}
