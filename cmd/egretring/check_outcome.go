package main

// Exit codes of a check that has written its findings. They are not those of errors of the client, so that a script can tell
// an invalid file from a command line that is wrong.
const (
	exitWarnings = 8
	exitInvalid  = 9
)

// checkOutcome ends the client with an exit code and without a message, because the findings have been written.
type checkOutcome struct {
	code int
}

// Error implements error.
func (o checkOutcome) Error() string {
	if o.code == exitInvalid {
		return "configuration is not valid"
	}
	return "configuration has warnings"
}
