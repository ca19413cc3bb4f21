package forwarder_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

var longBody = strings.Repeat("x", 40<<10)

// evidenceCase is one response of a server and the result that has to be reported for it.
type evidenceCase struct {
	Name     string
	Method   string
	Relay    bool
	Answer   string
	Reset    bool
	Evidence string
	Begun    bool
	Status   int
	Body     string
	Kind     string
}

var repetition = regexp.MustCompile(`<\d+>`)

func expandRepetitions(text string) string {
	return repetition.ReplaceAllStringFunc(text, func(match string) string {
		count, err := strconv.Atoi(strings.Trim(match, "<>"))
		if err != nil {
			panic(err)
		}
		return strings.Repeat("x", count)
	})
}

func evidenceCases(t *testing.T) []evidenceCase {
	t.Helper()
	content, err := os.ReadFile("testdata/evidence.hujson")
	require.NoError(t, err)
	content, err = hujson.Standardize(content)
	require.NoError(t, err)
	var cases []evidenceCase
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&cases))
	require.NotEmpty(t, cases)
	return cases
}

// kindNamed returns the kind with a name; an empty name stands for the zero value.
func kindNamed(t *testing.T, name string) classifier.Kind {
	t.Helper()
	if name == "" {
		return 0
	}
	kind, ok := classifier.ParseKind(name)
	require.True(t, ok, name)
	return kind
}

// TestEvidenceOfServerResponses guards against wrong evidence: evidence that wrongly proves "not run" makes a request
// run twice, and an incomplete response reported as Answered reaches a caller as complete.
func TestEvidenceOfServerResponses(t *testing.T) {
	for _, c := range evidenceCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			script := respond(expandRepetitions(c.Answer))
			if c.Reset {
				script = respondAndReset(expandRepetitions(c.Answer))
			}
			options := optionsFor(serve(t, script))
			options.Request.Header = http.Header{forwarder.HeaderRequest: {"r1"}}
			if c.Method != "" {
				options.Request.Method = c.Method
			}
			if c.Relay {
				options.RelayedBy = "e1"
			}
			result, caller := exchangeForCaller(t, forwarder.New(), options)
			require.Equal(t, c.Evidence, result.Evidence.String(), "%v", result.Err)
			require.Equal(t, c.Begun, result.ResponseStarted)
			require.Equal(t, c.Status, result.Status)
			require.Equal(t, kindNamed(t, c.Kind), result.Peer.Kind)
			require.Equal(t, result.Evidence == describer.Answered, result.Err == nil)
			switch {
			case result.Evidence == describer.Answered:
				require.NoError(t, caller.err)
				require.Equal(t, c.Status, caller.status)
				require.Equal(t, expandRepetitions(c.Body), caller.body)
			case c.Begun:
				require.Error(t, caller.err, "an incomplete response looks complete")
				require.True(t, result.CallerAborted)
			default:
				require.Equal(t, 599, caller.status, "something was written to the caller")
			}
		})
	}
}

// TestIncompleteResponseToHTTP10Caller guards against an incomplete response that a caller takes for complete because
// HTTP/1.0 marks the end of a response by the end of the connection.
func TestIncompleteResponseToHTTP10Caller(t *testing.T) {
	address := serve(t, respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"))
	result, err := callHTTP10(t, optionsFor(address))
	require.Equal(t, describer.Truncated, result.Evidence)
	require.Error(t, err)
}
