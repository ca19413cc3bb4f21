package describer

// Evidence is the observed result of one attempt to run a request on a backend server.
type Evidence int

// The evidence of an attempt.
const (
	// Answered means that the complete response was delivered to the caller.
	Answered Evidence = iota
	// NotSent means that no byte of the request was sent.
	NotSent
	// Refused means that the backend server reported that it did not run the request.
	Refused
	// Failed means that a complete error response arrived.
	Failed
	// Truncated means that the response ended before it was complete.
	Truncated
	// Broken means that the connection was lost after the first byte of the request was sent.
	Broken
	// Aborted means that the attempt ended because the caller cancelled it, because the response could not be written to
	// the caller, or at its deadline.
	Aborted
)

var evidenceNames = [...]string{"Answered", "NotSent", "Refused", "Failed", "Truncated", "Broken", "Aborted"}

// String returns the name of the evidence.
func (e Evidence) String() string {
	if e < 0 || int(e) >= len(evidenceNames) {
		return "Unknown"
	}
	return evidenceNames[e]
}

// ProvesNotRun reports whether the evidence proves that the request was not run.
func (e Evidence) ProvesNotRun() bool {
	return e == NotSent || e == Refused
}
