package classifier

import "net/http"

// Outcome states whether a request that ended with an error was run.
type Outcome string

// The outcomes.
const (
	// NotRun guarantees that no backend server ran the request.
	NotRun Outcome = "NotRun"
	// Run means that a backend server ran the request and responded.
	Run Outcome = "Run"
	// Unknown means that the request may have been run.
	Unknown Outcome = "Unknown"
)

// ErrorResponse is the response to a caller or operator for an error kind.
type ErrorResponse struct {
	Name    string
	Status  int
	Outcome Outcome
	// RetryMayHelp is true when the same request may succeed later.
	RetryMayHelp bool
	// ExitCode is the exit code of the operators' client.
	ExitCode int
}

var errorResponses = [kindCount]ErrorResponse{
	Internal:         {"Internal", http.StatusInternalServerError, Unknown, false, 1},
	BadRequest:       {"BadRequest", http.StatusBadRequest, NotRun, false, 2},
	RequestTooLarge:  {"RequestTooLarge", http.StatusRequestEntityTooLarge, NotRun, false, 2},
	UnknownService:   {"UnknownService", http.StatusNotFound, NotRun, false, 3},
	BadDeadline:      {"BadDeadline", http.StatusBadRequest, NotRun, false, 2},
	DeadlineExceeded: {"DeadlineExceeded", http.StatusGatewayTimeout, NotRun, true, 4},
	Overloaded:       {"Overloaded", http.StatusServiceUnavailable, NotRun, true, 4},
	QueueFull:        {"QueueFull", http.StatusServiceUnavailable, NotRun, true, 4},
	LimitReached:     {"LimitReached", http.StatusTooManyRequests, NotRun, true, 4},
	NoBackendServer:  {"NoBackendServer", http.StatusServiceUnavailable, NotRun, true, 4},
	BackendFailed:    {"BackendFailed", http.StatusBadGateway, Run, true, 1},
	BackendTruncated: {"BackendTruncated", http.StatusBadGateway, Unknown, true, 1},
	OutcomeUnknown:   {"OutcomeUnknown", http.StatusBadGateway, Unknown, false, 5},
	KeyInUse:         {"KeyInUse", http.StatusConflict, Unknown, true, 5},
	KeyExpired:       {"KeyExpired", http.StatusConflict, Unknown, false, 5},
	Draining:         {"Draining", http.StatusServiceUnavailable, NotRun, true, 4},
	NotReady:         {"NotReady", http.StatusServiceUnavailable, NotRun, true, 4},
	Cancelled:        {"Cancelled", 499, Unknown, false, 1},
	BadTicket:        {"BadTicket", http.StatusUnprocessableEntity, NotRun, false, 2},
	Conflict:         {"Conflict", http.StatusConflict, NotRun, false, 6},
	NotFound:         {"NotFound", http.StatusNotFound, NotRun, false, 3},
	StoreUnavailable: {"StoreUnavailable", http.StatusServiceUnavailable, Unknown, true, 4},
	Forbidden:        {"Forbidden", http.StatusForbidden, NotRun, false, 7},
	Unauthorized:     {"Unauthorized", http.StatusUnauthorized, NotRun, false, 7},
}

// ErrorResponseOf returns the response for an error kind.
func ErrorResponseOf(kind Kind) ErrorResponse {
	if kind < 0 || kind >= kindCount {
		return errorResponses[Internal]
	}
	return errorResponses[kind]
}
