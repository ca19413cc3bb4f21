package gatekeeper

import "context"

const (
	// objectBytes is the memory for an object of a job's JSON: 168 bytes as it is decoded and 208 bytes as a step of the job.
	objectBytes = 384
	// elementBytes is the memory for an element of a list of numbers, in a slice that grows to twice its need.
	elementBytes = 24
)

// Shape is what determines the memory that a JSON text takes once it is decoded.
type Shape struct {
	// Objects is the number of objects, and Elements the number of commas: further fields of objects and elements of lists.
	Objects  int
	Elements int
}

// ShapeOf returns the shape of a JSON text. The text may be malformed.
func ShapeOf(text []byte) Shape {
	var shape Shape
	inString := false
	for n := 0; n < len(text); n++ {
		switch text[n] {
		case '"':
			inString = !inString
		case '\\':
			// The next character belongs to the escape sequence.
			n++
		case '{':
			if !inString {
				shape.Objects++
			}
		case ',':
			if !inString {
				shape.Elements++
			}
		}
	}
	return shape
}

// DecodedBytes returns a bound of the memory that a JSON text of a number of bytes takes once it is decoded as a job.
func (s Shape) DecodedBytes(textBytes int) int64 {
	return int64(textBytes) + objectBytes*int64(s.Objects) + elementBytes*int64(s.Elements)
}

// ReserveDecoded reserves the memory that a body takes once it is decoded, until its request is answered. The context is that of the
// request; without a gate, nothing is reserved.
func ReserveDecoded(ctx context.Context, body []byte) error {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return nil
	}
	return c.gate.charge(c, ShapeOf(body).DecodedBytes(len(body)))
}
