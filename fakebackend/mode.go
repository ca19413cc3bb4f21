package fakebackend

import "time"

// Mode is how a backend server behaves.
type Mode int

// The modes.
const (
	Healthy Mode = iota
	// FailsFast answers each request with status 500 at once and fails each task at its start.
	FailsFast
	// Leaving refuses each request without running it and announces that the server is leaving.
	Leaving
	// Refuses refuses each request without running it.
	Refuses
	// TruncatesLength runs the request and ends its answer before the announced length.
	TruncatesLength
	// TruncatesChunked runs the request and ends its chunked answer without the last chunk.
	TruncatesChunked
	// BreaksBeforeRun closes the connection without running the request.
	BreaksBeforeRun
	// BreaksAfterRun runs the request and closes the connection without an answer.
	BreaksAfterRun
	// Slow multiplies each run time by Faults.Factor.
	Slow
	// AnswersLate runs the request and sends the answer Faults.Delay later, when the slot is free again.
	AnswersLate
	// IgnoresCancel runs the request to its end although the connection was closed.
	IgnoresCancel
)

// Faults say how a backend server misbehaves.
type Faults struct {
	Mode Mode
	// Share is the share of requests that the mode applies to; zero means all. It does not apply to Leaving.
	Share float64
	// Factor is the factor of Slow.
	Factor float64
	// Delay is the delay of AnswersLate.
	Delay time.Duration
}

// runs reports whether a request is run in this mode.
func (m Mode) runs() bool {
	return m != Leaving && m != Refuses && m != BreaksBeforeRun
}
