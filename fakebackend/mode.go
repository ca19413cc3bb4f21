package fakebackend

import "time"

// Mode selects how a backend server behaves.
type Mode int

// Modes of a backend server.
const (
	Healthy Mode = iota
	// FailsFast responds to each request with status 500 without a delay and fails each task at its start.
	FailsFast
	// Leaving refuses each request without running it and announces that the server is leaving.
	Leaving
	// Refuses refuses each request without running it.
	Refuses
	// TruncatesLength runs the request and breaks the connection before the response has reached its Content-Length.
	TruncatesLength
	// TruncatesChunked runs the request and breaks the connection before the last chunk of a chunked response.
	TruncatesChunked
	// BreaksBeforeRun closes the connection without running the request.
	BreaksBeforeRun
	// BreaksAfterRun runs the request and closes the connection without a response.
	BreaksAfterRun
	// Slow multiplies each run time by Faults.Factor.
	Slow
	// RespondsLate runs the request, frees its slot and sends the response after a further Faults.Delay.
	RespondsLate
	// IgnoresCancel runs the request to its end even if the connection is closed.
	IgnoresCancel
)

// Faults configure the simulated faults of a backend server.
type Faults struct {
	Mode Mode
	// Share is the share of requests that the mode applies to; zero means all. The mode Leaving applies to all requests.
	Share float64
	// Factor multiplies the run times in the mode Slow.
	Factor float64
	// Delay is the delay of each response in the mode RespondsLate.
	Delay time.Duration
}

// runsRequest reports whether requests are run in this mode.
func (m Mode) runsRequest() bool {
	return m != Leaving && m != Refuses && m != BreaksBeforeRun
}
