package checker

import (
	"fmt"
	"math"
	"time"
)

// maxMilliseconds is the longest time that a time.Duration holds; a longer one overflows to a negative time.
const maxMilliseconds = int64(math.MaxInt64 / time.Millisecond)

// findings collects the results of a check.
type findings []Finding

func (f *findings) error(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Severity: Error, Message: fmt.Sprintf(format, args...)})
}

func (f *findings) warn(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Severity: Warning, Message: fmt.Sprintf(format, args...)})
}

// warnInForce adds a warning with a place in the file in force.
func (f *findings) warnInForce(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, InForce: true, Severity: Warning, Message: fmt.Sprintf(format, args...)})
}

// requireText reports a text that is missing or empty.
func (f *findings) requireText(field Field[string], what string) {
	switch {
	case field.isMissing():
		f.error(field.Place, "%s is missing", what)
	case field.Given && field.Value == "":
		f.error(field.Place, "%s is empty", what)
	}
}

// requireUnique reports a name that an earlier entry has, of which only the first would count.
func (f *findings) requireUnique(seen map[string]string, field Field[string], what string) {
	if field.Value == "" {
		return
	}
	if earlier, known := seen[field.Value]; known {
		f.error(field.Place, "%s %q is also used at %s", what, field.Value, earlier)
		return
	}
	seen[field.Value] = field.Place
}

// requirePositive reports a value that is not positive. A missing one is only a warning, because
// configurations of earlier deployments may lack it.
func requirePositive[V int64 | float64](f *findings, field Field[V], what string) {
	switch {
	case field.isMissing():
		f.warn(field.Place, "%s is missing and counts as zero", what)
	case field.Given && field.Value <= 0:
		f.error(field.Place, "%s is %v, but must be positive", what, field.Value)
	}
}

// requireNotNegative reports a negative value; it returns whether the value is usable.
func requireNotNegative[V int64 | float64](f *findings, field Field[V], what string) bool {
	if field.Given && field.Value < 0 {
		f.error(field.Place, "%s is %v, but must not be negative", what, field.Value)
		return false
	}
	return field.Given
}

// requireDuration reports a time that is not positive, or that the program cannot hold.
func (f *findings) requireDuration(field Field[int64], what string) {
	requirePositive(f, field, what)
	if field.Value > maxMilliseconds {
		f.error(field.Place, "%s is %d ms, but may be at most %d", what, field.Value, maxMilliseconds)
	}
}
