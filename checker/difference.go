package checker

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is one difference from the configuration in force.
type Difference struct {
	Place string
	// InForce is true when the place is in the file in force, because the checked one has no such entry.
	InForce bool `json:",omitempty"`
	Change  Change
	// Object names what differs, for example a queue.
	Object string
	// Before and After are the values; keys are shown by their count and last characters.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}
