package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

const complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

var long = strings.Repeat("x", 40<<10)

// evidenceCase is one fault of a server and what has to be reported about it.
type evidenceCase struct {
	name     string
	method   string
	relay    bool
	play     script
	evidence describer.Evidence
	begun    bool
	status   int
	// body is what the caller receives completely; it is checked only for Answered.
	body string
	kind classifier.Kind
}

var evidenceCases = []evidenceCase{
	{name: "length", play: answers(complete), evidence: describer.Answered, begun: true, status: 200, body: "hello"},
	{
		name: "chunked", play: answers("HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
		evidence: describer.Answered, begun: true, status: 201, body: "hello",
	},
	{
		name: "long", play: answers("HTTP/1.1 200 OK\r\nContent-Length: 40960\r\n\r\n" + long),
		evidence: describer.Answered, begun: true, status: 200, body: long,
	},
	{
		name: "exactly the buffer", play: answers("HTTP/1.1 200 OK\r\nContent-Length: 32768\r\n\r\n" + long[:32768]),
		evidence: describer.Answered, begun: true, status: 200, body: long[:32768],
	},
	{
		name: "no content", play: answers("HTTP/1.1 204 No Content\r\n\r\n"),
		evidence: describer.Answered, begun: true, status: 204,
	},
	{
		name: "head", method: http.MethodHead, play: answers("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n"),
		evidence: describer.Answered, begun: true, status: 200,
	},
	{
		name: "not found", play: answers("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"),
		evidence: describer.Answered, begun: true, status: 404, body: "no",
	},
	{
		name: "status 503 without header", play: answers("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 503,
	},
	{
		name: "refused", play: answers("HTTP/1.1 503 Busy\r\nEgretring-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Refused, status: 503,
	},
	{
		name: "refused and truncated", play: answers("HTTP/1.1 503 Busy\r\nEgretring-Not-Run: true\r\nContent-Length: 9\r\n\r\nx"),
		evidence: describer.Refused, status: 503,
	},
	{
		name:     "contradicting refusal",
		play:     answers("HTTP/1.1 503 Busy\r\nEgretring-Not-Run: true\r\nEgretring-Not-Run: false\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 503,
	},
	{
		name: "refusal with status 500", play: answers("HTTP/1.1 500 Oops\r\nEgretring-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 500,
	},
	{
		name: "refusal with status 200", play: answers("HTTP/1.1 200 OK\r\nEgretring-Not-Run: true\r\nContent-Length: 1\r\n\r\nx"),
		evidence: describer.Answered, begun: true, status: 200, body: "x",
	},
	{
		name: "failed", play: answers("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"),
		evidence: describer.Failed, status: 500,
	},
	{
		name: "failed and truncated", play: answers("HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\noops"),
		evidence: describer.Truncated, status: 500,
	},
	{
		name: "short truncated", play: answers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"),
		evidence: describer.Truncated, status: 200,
	},
	{
		name: "short reset", play: resets("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"),
		evidence: describer.Truncated, status: 200,
	},
	{
		name: "long truncated", play: answers("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + long),
		evidence: describer.Truncated, begun: true, status: 200,
	},
	{
		name: "chunked without end", play: answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
		evidence: describer.Truncated, begun: true, status: 200,
	},
	{
		name: "chunked with bad size", play: answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n"),
		evidence: describer.Truncated, begun: true, status: 200,
	},
	{
		name: "ends with connection", play: answers("HTTP/1.1 200 OK\r\n\r\nhello"),
		evidence: describer.Truncated, status: 200,
	},
	{
		name: "ends with connection, HTTP/1.0", play: answers("HTTP/1.0 200 OK\r\n\r\nhello"),
		evidence: describer.Truncated, status: 200,
	},
	{name: "closed after request", play: answers(""), evidence: describer.Broken},
	{name: "reset after request", play: resets(""), evidence: describer.Broken},
	{name: "closed in header", play: answers("HTTP/1.1 200 OK\r\nContent-Le"), evidence: describer.Broken},
	{name: "not HTTP", play: answers("SSH-2.0-x\r\n"), evidence: describer.Broken},
	{
		name: "header too long", play: answers("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 80<<10) + "\r\n\r\n"),
		evidence: describer.Broken,
	},
	{
		name: "switches protocols", play: answers("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"),
		evidence: describer.Broken, status: 101,
	},
	{
		name: "invalid status", play: answers("HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Broken, status: 99,
	},
	{
		name: "answer for another request", play: answers("HTTP/1.1 200 OK\r\nEgretring-Request: r0\r\nContent-Length: 5\r\n\r\nhello"),
		evidence: describer.Broken, status: 200,
	},
	{
		name: "interim answer first", play: answers("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + complete),
		evidence: describer.Answered, begun: true, status: 200, body: "hello",
	},
	{
		name: "peer did not run", relay: true, kind: classifier.QueueFull,
		play:     answers("HTTP/1.1 503 Busy\r\nEgretring-Kind: QueueFull\r\nEgretring-Outcome: NotRun\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Refused, status: 503,
	},
	{
		name: "peer did not run, unknown kind", relay: true, kind: classifier.NoBackendServer,
		play:     answers("HTTP/1.1 418 New\r\nEgretring-Kind: Teapot\r\nEgretring-Outcome: NotRun\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Refused, status: 418,
	},
	{
		name: "peer with contradicting outcomes", relay: true,
		play:     answers("HTTP/1.1 503 Busy\r\nEgretring-Kind: QueueFull\r\nEgretring-Outcome: NotRun\r\nEgretring-Outcome: Run\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Answered, begun: true, status: 503,
	},
	{
		name: "peer does not know", relay: true,
		play:     answers("HTTP/1.1 502 Bad\r\nEgretring-Kind: OutcomeUnknown\r\nEgretring-Outcome: Unknown\r\nContent-Length: 2\r\n\r\n{}"),
		evidence: describer.Answered, begun: true, status: 502, body: "{}",
	},
	{
		name: "peer fails without outcome", relay: true, play: answers("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 500,
	},
	{
		name: "peer sends a backend server's header", relay: true,
		play:     answers("HTTP/1.1 503 Busy\r\nEgretring-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 503,
	},
	{
		name:     "backend server sends a peer's headers",
		play:     answers("HTTP/1.1 503 Busy\r\nEgretring-Kind: QueueFull\r\nEgretring-Outcome: NotRun\r\nContent-Length: 0\r\n\r\n"),
		evidence: describer.Failed, status: 503,
	},
}

// TestEvidence guards against wrong evidence: evidence that wrongly proves "not run" makes a request run twice, and an
// incomplete answer reported as Answered reaches a caller as complete.
func TestEvidence(t *testing.T) {
	for _, c := range evidenceCases {
		t.Run(c.name, func(t *testing.T) {
			options := optionsFor(serve(t, c.play))
			options.Request.Header = http.Header{forwarder.HeaderRequest: {"r1"}}
			if c.method != "" {
				options.Request.Method = c.method
			}
			if c.relay {
				options.RelayedBy = "e1"
			}
			result, caller := callThrough(t, forwarder.New(), options)
			require.Equal(t, c.evidence.String(), result.Evidence.String(), "%v", result.Err)
			require.Equal(t, c.begun, result.AnswerBegun)
			require.Equal(t, c.status, result.Status)
			require.Equal(t, c.kind, result.Peer.Kind)
			require.Equal(t, c.evidence == describer.Answered, result.Err == nil)
			switch {
			case c.evidence == describer.Answered:
				require.NoError(t, caller.err)
				require.Equal(t, c.status, caller.status)
				require.Equal(t, c.body, caller.body)
			case c.begun:
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
