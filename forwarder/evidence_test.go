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

const complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

var long = strings.Repeat("x", 40<<10)

// evidenceCase is one fault of a server and what has to be reported about it.
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

var repeated = regexp.MustCompile(`<\d+>`)

func expand(text string) string {
	return repeated.ReplaceAllStringFunc(text, func(match string) string {
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
	kind, ok := classifier.KindNamed(name)
	require.True(t, ok, name)
	return kind
}

// TestEvidence guards against wrong evidence: evidence that wrongly proves "not run" makes a request run twice, and an
// incomplete answer reported as Answered reaches a caller as complete.
func TestEvidence(t *testing.T) {
	for _, c := range evidenceCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			play := answers(expand(c.Answer))
			if c.Reset {
				play = resets(expand(c.Answer))
			}
			options := optionsFor(serve(t, play))
			options.Request.Header = http.Header{forwarder.HeaderRequest: {"r1"}}
			if c.Method != "" {
				options.Request.Method = c.Method
			}
			if c.Relay {
				options.RelayedBy = "e1"
			}
			result, caller := callThrough(t, forwarder.New(), options)
			require.Equal(t, c.Evidence, result.Evidence.String(), "%v", result.Err)
			require.Equal(t, c.Begun, result.AnswerBegun)
			require.Equal(t, c.Status, result.Status)
			require.Equal(t, kindNamed(t, c.Kind), result.Peer.Kind)
			require.Equal(t, result.Evidence == describer.Answered, result.Err == nil)
			switch {
			case result.Evidence == describer.Answered:
				require.NoError(t, caller.err)
				require.Equal(t, c.Status, caller.status)
				require.Equal(t, expand(c.Body), caller.body)
			case c.Begun:
				require.Error(t, caller.err, "an incomplete answer looks complete")
				require.True(t, result.CallerAborted)
			default:
				require.Equal(t, 599, caller.status, "something was written to the caller")
			}
		})
	}
}

// TestIncompleteAnswerOverHTTP10 guards against an incomplete answer that a caller takes for complete because its
// protocol version marks the end of an answer by the end of the connection.
func TestIncompleteAnswerOverHTTP10(t *testing.T) {
	address := serve(t, answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"))
	result, err := callHTTP10(t, optionsFor(address))
	require.Equal(t, describer.Truncated, result.Evidence)
	require.Error(t, err)
}
