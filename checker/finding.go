package checker

// Severity is how grave a finding is.
type Severity string

// The severities.
const (
	// Error means that the program could not read the configuration, or would serve something else than it says.
	Error Severity = "Error"
	// Warning means that the configuration works, but perhaps not as intended.
	Warning Severity = "Warning"
)

// Finding is one result of a check.
type Finding struct {
	// Place is the place in the file, for example that of the prefix of the fourth queue.
	Place string
	// InForce is true when the place is in the file in force, not in the checked one.
	InForce  bool `json:",omitempty"`
	Severity Severity
	Message  string
}
