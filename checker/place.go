package checker

import (
	"cmp"
	"strings"
)

// comparePlaces orders places by text, and indexes in them by number, so that the tenth entry follows the second.
func comparePlaces(a, b string) int {
	for a != "" && b != "" {
		if isDigit(a[0]) && isDigit(b[0]) {
			first, second := number(a), number(b)
			if order := cmp.Or(cmp.Compare(len(first), len(second)), strings.Compare(first, second)); order != 0 {
				return order
			}
			a, b = a[len(first):], b[len(second):]
			continue
		}
		if a[0] != b[0] {
			return cmp.Compare(a[0], b[0])
		}
		a, b = a[1:], b[1:]
	}
	return cmp.Compare(len(a), len(b))
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// number returns the digits at the start of a text.
func number(text string) string {
	return text[:len(text)-len(strings.TrimLeft(text, "0123456789"))]
}
