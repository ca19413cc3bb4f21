package checker

// Field is a value of the file with its place.
type Field[V any] struct {
	// Place is where the value stands, or where it would stand if it is missing.
	Place string
	Value V
	// Given is true when the file has a value of the right type.
	Given bool
	// Faulty is true when the file has a value of another type, which the reader has reported.
	Faulty bool
}

// isMissing reports whether the file has no value. A value of a wrong type is not missing.
func (f Field[V]) isMissing() bool {
	return !f.Given && !f.Faulty
}
