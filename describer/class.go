package describer

import "github.com/pkg/errors"

// Class is the urgency of a request or a job.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Standard
	Deferrable
)

// ClassCount is the number of classes.
const ClassCount = 3

var classNames = [ClassCount]string{"Urgent", "Standard", "Deferrable"}

// Classes lists all classes, most urgent first.
func Classes() [ClassCount]Class {
	return [ClassCount]Class{Urgent, Standard, Deferrable}
}

// String returns the name of the class.
func (c Class) String() string {
	if c < 0 || int(c) >= ClassCount {
		return "Unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for i, known := range classNames {
		if known == name {
			return Class(i), nil
		}
	}
	return 0, errors.Errorf("class %q is unknown; allowed are Urgent, Standard and Deferrable", name)
}

// MarshalText encodes the class as its name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText decodes the class from its name.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}
